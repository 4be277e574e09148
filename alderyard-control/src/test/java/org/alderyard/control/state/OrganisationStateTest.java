package org.alderyard.control.state;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.alderyard.common.error.FieldFault;
import org.alderyard.common.view.KeyDigest;
import org.alderyard.common.view.Organisations;
import org.alderyard.protocol.generated.control.Command;
import org.alderyard.protocol.generated.state.Configuration;
import org.alderyard.protocol.generated.state.Organisation;
import org.alderyard.protocol.generated.state.OrganisationQuota;
import org.junit.jupiter.api.Test;

/** Organisations of a configuration: what is stored, restored and rejected. */
class OrganisationStateTest {

  private static Organisation organisation(String name, String... keys) {
    Organisation.Builder organisation = Organisation.newBuilder().setName(name);
    for (String key : keys) {
      organisation.addKeyDigests(ByteString.copyFrom(KeyDigest.of(key).toArray()));
    }
    return organisation.build();
  }

  private static Configuration configuration(Organisation... organisations) {
    return ConfigurationStateTest.configuration(3, "three", "g1").toBuilder()
        .setRequiresKeys(true)
        .setSourceSealed(true)
        .addAllOrganisations(List.of(organisations))
        .build();
  }

  private static List<FieldFault> faults(Organisation... organisations) {
    return ConfigurationValidator.faults(configuration(organisations));
  }

  private static Organisation limited(double rate, double burst) {
    return organisation("a").toBuilder()
        .setQuota(OrganisationQuota.newBuilder().setRatePerSecond(rate).setBurst(burst))
        .build();
  }

  /** Control hosts must give back after a restart what they held before. */
  @Test
  void snapshotKeepsOrganisations() {
    ControlState state = new ControlState(change -> {});
    Configuration stored = configuration(organisation("a", "k1", "k2"), limited(2.5, 4));
    state.apply(1, Command.newBuilder().setReplaceConfiguration(stored).build().toByteString());

    ControlState restored = new ControlState(change -> {});
    restored.restore(1, state.snapshot());

    Organisations organisations = restored.view().configuration().orElseThrow().organisations();
    assertThat(organisations).isEqualTo(state.view().configuration().get().organisations());
    assertThat(organisations.byKeyDigest(KeyDigest.of("k2")).orElseThrow().name()).isEqualTo("a");
    assertThat(restored.view().configuration().get().sourceSealed()).isTrue();
  }

  /** A configuration of an earlier version has no organisations: its callers need no key. */
  @Test
  void configurationWithoutOrganisationsRequiresNoKeys() {
    ControlState state = new ControlState(change -> {});
    Configuration earlier = ConfigurationStateTest.configuration(3, "three", "g1");
    state.apply(1, Command.newBuilder().setReplaceConfiguration(earlier).build().toByteString());

    assertThat(state.view().configuration().orElseThrow().organisations())
        .isEqualTo(Organisations.NONE);
  }

  @Test
  void keyOfTwoOrganisationsIsRejectedWithoutNamingIt() {
    List<FieldFault> faults = faults(organisation("a", "k1", "k2"), organisation("b", "k2"));

    assertThat(faults).hasSize(1);
    assertThat(faults.get(0).toString()).contains("organisation a");
    assertThat(faults.get(0).toString()).doesNotContain("k2");
    assertThat(faults(organisation("a", "k1", "k1"), organisation("b", "k2"))).isEmpty();
  }

  /** A name is sent to servers as one word of a line. */
  @Test
  void nameThatIsNotOneWordIsRejected() {
    for (String name :
        List.of("", "two words", "line\r\nbreak", "tab\t", "café", "x".repeat(65_536))) {
      assertThat(faults(organisation(name))).hasSize(1);
    }
    assertThat(faults(organisation("a"), organisation("a"))).hasSize(1);
  }

  @Test
  void absurdLimitsAreRejected() {
    for (double value :
        new double[] {-1, Double.NaN, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY, 1e10}) {
      assertThat(faults(limited(value, 1))).hasSize(1);
      assertThat(faults(limited(1, value))).hasSize(1);
    }
    assertThat(faults(limited(0, 0))).isEmpty();
  }

  @Test
  void tooManyOrganisationsAreRejectedWithOneFault() {
    List<Organisation> many = new ArrayList<>();
    for (int i = 0; i < 100_000; i++) {
      many.add(organisation("o" + i));
    }
    assertThat(faults(many.toArray(Organisation[]::new))).hasSize(1);
  }
}
