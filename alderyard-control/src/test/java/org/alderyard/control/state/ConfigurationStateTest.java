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

/** Configurations of sessions: the highest number counts, and nothing brings an older one back. */
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

  private long inForce() {
    return state.view().configuration().map(ConfigurationState::number).orElse(0L);
  }

  @Test
  void olderConfigurationThatArrivesLateIsAcknowledgedAndChangesNothing() throws Exception {
    // An operator's change was overtaken while its answer was lost, and is sent again. Refusing it
    // would be wrong, as it was taken once; obeying it would bring old databases back.
    replace(configuration(3, "three", "g1"));
    replace(configuration(7, "seven", "g1", "g2"));

    ReplaceConfigurationReply late = replace(configuration(3, "three", "g1"));

    assertThat(late.getNumber()).isEqualTo(7);
    assertThat(late.getConflict()).isFalse();
    assertThat(inForce()).isEqualTo(7);
  }

  @Test
  void otherContentUnderTheNumberInForceIsConflict() throws Exception {
    replace(configuration(3, "three", "g1"));

    assertThat(replace(configuration(3, "other", "g1", "g2")).getConflict()).isTrue();
    assertThat(replace(configuration(3, "three", "g1")).getConflict()).isFalse();
    assertThat(state.view().group(new GroupId("g2"))).isEmpty();
  }

  @Test
  void groupsFollowTheConfiguration() throws Exception {
    replace(configuration(3, "three", "g1", "g2"));
    replace(configuration(4, "four", "g2"));

    assertThat(state.view().groups().keySet()).containsExactly(new GroupId("g2"));
  }

  @Test
  void groupsChangeInOneOrderOnAllControlHosts() throws Exception {
    // Each control host derives the changed objects itself, and the hash of their chain must come
    // out the same everywhere. In the order of an unsorted map, which differs from process to
    // process, it did not: followers had no deltas to give, all hosts turned to the leader again
    // and again, and those that did not reach it stayed behind.
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
  void configurationOutlivesSnapshot() throws Exception {
    replace(configuration(3, "three", "g1"));
    ByteString snapshot = state.snapshot();

    state = new ControlState(changes::add);
    state.restore(index, snapshot);

    assertThat(inForce()).isEqualTo(3);
    assertThat(state.view().configuration().orElseThrow().source().toArray())
        .isEqualTo("three".getBytes(java.nio.charset.StandardCharsets.UTF_8));
  }

  @Test
  void everyFaultIsNamed() {
    Configuration faulty =
        Configuration.newBuilder()
            .setNumber(1)
            .addDatabases(Database.newBuilder().setName("a").setGroup("none"))
            .addDatabases(
                Database.newBuilder().setName("a").setGroup("none").setStatementTimeoutMillis(1))
            .build();

    assertThat(ConfigurationRules.faults(faulty).stream().map(FieldFault::field))
        .containsExactly("group", "statement-timeout", "group", "scope");
    assertThat(ConfigurationRules.faults(configuration(1, "x", "g1"))).isEmpty();
  }
}
