package org.alderyard.control.state;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import org.alderyard.common.error.FieldFault;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.view.ConfigurationState;
import org.alderyard.protocol.generated.control.Command;
import org.alderyard.protocol.generated.control.ReplaceConfigurationReply;
import org.alderyard.protocol.generated.state.Configuration;
import org.alderyard.protocol.generated.state.Database;
import org.alderyard.protocol.generated.state.GroupLimits;
import org.junit.jupiter.api.Test;

/** Session configurations: the highest number is in force, and a lower number never replaces it. */
class ConfigurationStateTest {
  private final List<ViewChange> changes = new ArrayList<>();
  private ControlState state = new ControlState(changes::add);
  private long index;

  private ReplaceConfigurationReply replace(Configuration configuration)
      throws InvalidProtocolBufferException {
    Command command = Command.newBuilder().setReplaceConfiguration(configuration).build();
    return ReplaceConfigurationReply.parseFrom(state.apply(++index, command.toByteString()));
  }

  static Configuration configuration(long number, String content, String... groups) {
    Configuration.Builder configuration =
        Configuration.newBuilder()
            .setNumber(number)
            .setSource(ByteString.copyFromUtf8(content))
            .setContentHash(ByteString.copyFromUtf8(content));
    for (String group : groups) {
      configuration
          .addGroups(GroupLimits.newBuilder().setId(group).setConnectionsPerServer(40))
          .addDatabases(
              Database.newBuilder()
                  .setName(group + "-db")
                  .setGroup(group)
                  .setStatementTimeoutMillis(800));
    }
    return configuration.build();
  }

  private long currentNumber() {
    return state.view().configuration().map(ConfigurationState::number).orElse(0L);
  }

  @Test
  void lowerNumberIsAcknowledgedAndChangesNothing() throws Exception {
    // The reply to configuration 3 is lost and configuration 7 is applied before the resend
    // arrives. Rejecting the resend would be wrong because it was accepted before; applying it
    // would restore old databases.
    replace(configuration(3, "three", "g1"));
    replace(configuration(7, "seven", "g1", "g2"));

    ReplaceConfigurationReply resent = replace(configuration(3, "three", "g1"));

    assertThat(resent.getNumber()).isEqualTo(7);
    assertThat(resent.getConflict()).isFalse();
    assertThat(currentNumber()).isEqualTo(7);
  }

  @Test
  void otherContentForCurrentNumberIsConflict() throws Exception {
    replace(configuration(3, "three", "g1"));

    assertThat(replace(configuration(3, "other", "g1", "g2")).getConflict()).isTrue();
    assertThat(replace(configuration(3, "three", "g1")).getConflict()).isFalse();
    assertThat(state.view().group(new GroupId("g2"))).isEmpty();
  }

  @Test
  void groupsMatchConfiguration() throws Exception {
    replace(configuration(3, "three", "g1", "g2"));
    replace(configuration(4, "four", "g2"));

    assertThat(state.view().groups().keySet()).containsExactly(new GroupId("g2"));
  }

  @Test
  void groupChangesHaveSameOrderOnAllControlHosts() throws Exception {
    // Each control host derives the changed objects itself, and the chain hash must be the same on
    // all hosts. With an unsorted map, whose order differs from process to process, the hashes
    // differed: followers had no usable deltas, all hosts polled the leader, and hosts that
    // couldn't reach the leader stayed on an old view.
    String[] groups = new String[40];
    for (int i = 0; i < groups.length; i++) {
      groups[i] = String.format("g%02d", (i * 7) % groups.length);
    }
    replace(configuration(3, "three", groups));
    replace(configuration(4, "four"));

    for (ViewChange change : changes) {
      List<String> names =
          change.delta().orElseThrow().getObjectsList().stream()
              .filter(object -> object.hasGroup() || !object.getRemovedGroup().isEmpty())
              .map(
                  object ->
                      object.hasGroup() ? object.getGroup().getId() : object.getRemovedGroup())
              .toList();
      assertThat(names).hasSize(groups.length);
      assertThat(names).isInOrder();
    }
  }

  @Test
  void configurationSurvivesSnapshotAndRestore() throws Exception {
    replace(configuration(3, "three", "g1"));
    ByteString snapshot = state.snapshot();

    state = new ControlState(changes::add);
    state.restore(index, snapshot);

    assertThat(currentNumber()).isEqualTo(3);
    assertThat(state.view().configuration().orElseThrow().source().toArray())
        .isEqualTo("three".getBytes(java.nio.charset.StandardCharsets.UTF_8));
  }

  @Test
  void allFaultsAreReported() {
    Configuration invalid =
        Configuration.newBuilder()
            .setNumber(1)
            .addDatabases(Database.newBuilder().setName("a").setGroup("none"))
            .addDatabases(
                Database.newBuilder().setName("a").setGroup("none").setStatementTimeoutMillis(1))
            .build();

    assertThat(ConfigurationValidator.faults(invalid).stream().map(FieldFault::field))
        .containsExactly("group", "statement-timeout", "group", "scope");
    assertThat(ConfigurationValidator.faults(configuration(1, "x", "g1"))).isEmpty();
  }
}
