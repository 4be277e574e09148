package org.alderyard.control.check;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import org.alderyard.protocol.generated.state.Configuration;
import org.alderyard.protocol.generated.state.Database;
import org.alderyard.protocol.generated.state.GroupLimits;
import org.alderyard.protocol.generated.state.Organisation;
import org.alderyard.protocol.generated.state.OrganisationQuota;
import org.alderyard.protocol.generated.state.SessionReads;
import org.junit.jupiter.api.Test;

/** Findings of configurations with one fault each, and differences between two versions. */
class ConfigurationCheckTest {
  private static final double WINDOW_SECONDS = 5;
  private static final ByteString KEY = ByteString.copyFromUtf8("digest-1");

  private static Database.Builder database(String name) {
    return Database.newBuilder()
        .setName(name)
        .setScope("/")
        .setGroup("g1")
        .setReads(SessionReads.NEWEST)
        .setStatementTimeoutMillis(400)
        .setLatencyObjectiveMillis(200);
  }

  private static Organisation.Builder organisation(double rate, double burst) {
    return Organisation.newBuilder()
        .setName("o1")
        .addKeyDigests(KEY)
        .setQuota(OrganisationQuota.newBuilder().setRatePerSecond(rate).setBurst(burst));
  }

  private static Configuration.Builder valid() {
    return Configuration.newBuilder()
        .setNumber(7)
        .addGroups(GroupLimits.newBuilder().setId("g1").setConnectionsPerServer(40))
        .addDatabases(database("orders"))
        .addOrganisations(organisation(5, 5))
        .setRequiresKeys(true)
        .setTransactionIdleMillis(3_000)
        .setSessionIdleMillis(15_000);
  }

  private static List<FindingCode> codes(Configuration.Builder configuration) {
    return new ConfigurationCheck(WINDOW_SECONDS)
        .check(configuration.build()).stream().map(Finding::code).toList();
  }

  @Test
  void validConfigurationHasNoFindings() {
    assertThat(codes(valid())).isEmpty();
  }

  @Test
  void whatHostsRefuseIsAnError() {
    assertThat(codes(valid().addDatabases(database("more").setGroup("g9"))))
        .containsExactly(FindingCode.INVALID);
    assertThat(codes(valid().setNumber(0))).containsExactly(FindingCode.INVALID);
  }

  @Test
  void entriesThatNeverMatchAreFound() {
    assertThat(codes(valid().addDatabases(database("orders").setScope("/other"))))
        .containsExactly(FindingCode.HIDDEN_DATABASE);
    assertThat(codes(valid().addGroups(GroupLimits.newBuilder().setId("g2"))))
        .containsExactly(FindingCode.UNUSED_GROUP);
    assertThat(codes(valid().addOrganisations(Organisation.newBuilder().setName("o2"))))
        .containsExactly(FindingCode.ORGANISATION_WITHOUT_KEYS);
    assertThat(codes(valid().clearOrganisations()))
        .containsExactly(FindingCode.DATABASE_WITHOUT_CALLERS);
  }

  @Test
  void contradictingLimitsAreFound() {
    assertThat(codes(valid().setDatabases(0, database("orders").setLatencyObjectiveMillis(500))))
        .containsExactly(FindingCode.OBJECTIVE_ABOVE_TIMEOUT);
    assertThat(codes(valid().setDatabases(0, database("orders").setMaxStalenessMillis(500))))
        .containsExactly(FindingCode.UNUSED_STALENESS);
    assertThat(codes(valid().setDatabases(0, database("orders").setReads(SessionReads.BOUNDED))))
        .containsExactly(FindingCode.MISSING_STALENESS);
    assertThat(codes(valid().setOrganisations(0, organisation(5, 0))))
        .containsExactly(FindingCode.RATE_WITHOUT_BURST);
    assertThat(codes(valid().setOrganisations(0, organisation(0.1, 0))))
        .containsExactly(FindingCode.QUOTA_BELOW_ONE_OPERATION);
    assertThat(codes(valid().setTransactionIdleMillis(20_000)))
        .containsExactly(FindingCode.TRANSACTION_OUTLIVES_SESSION);
  }

  @Test
  void differencesNameObjectAndField() {
    Configuration next =
        valid()
            .setNumber(8)
            .setDatabases(0, database("orders").setStatementTimeoutMillis(500))
            .addDatabases(database("archive"))
            .clearOrganisations()
            .build();

    assertThat(ConfigurationDiff.compare(valid().build(), next).stream().map(Finding::toString))
        .containsExactly(
            "CHANGED database/orders scope '/': statement-timeout-millis was 400, becomes 500",
            "ADDED database/archive scope '/': {group=g1, reads=NEWEST,"
                + " statement-timeout-millis=400, latency-objective-millis=200, priority=0,"
                + " max-staleness-millis=0, public-access=false}",
            "REMOVED organisation/o1: removed");
  }

  /** Guards against keys, or their digests, on the screen of an operator. */
  @Test
  void changedKeysAreCountedOnly() {
    Configuration next =
        valid()
            .setNumber(8)
            .setOrganisations(
                0, organisation(5, 5).clearKeyDigests().addKeyDigests(ByteString.copyFromUtf8("2")))
            .build();

    assertThat(ConfigurationDiff.compare(valid().build(), next).stream().map(Finding::toString))
        .containsExactly("CHANGED organisation/o1: keys: 1 added, 1 removed");
  }

  @Test
  void numberThatIsNotHigherIsAnError() {
    assertThat(ConfigurationDiff.compare(valid().build(), valid().build()))
        .containsExactly(
            new Finding(
                FindingCode.NUMBER_NOT_HIGHER,
                "configuration",
                "number 7 is in force; number 7 has no effect"));
  }
}
