package org.alderyard.control.state;

import java.util.List;
import java.util.Optional;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.view.Bytes;
import org.alderyard.common.view.ConfigurationState;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.View;
import org.alderyard.protocol.generated.control.ReplaceConfigurationReply;
import org.alderyard.protocol.generated.state.Configuration;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.view.StateCodec;

/** Plans how a configuration replaces the one in force. */
final class ConfigurationPlanner {
  private final ServerRegistry servers;

  ConfigurationPlanner(ServerRegistry servers) {
    this.servers = servers;
  }

  /**
   * Returns the reply to a configuration whose number is not greater than the current one.
   *
   * <p>A lower number is acknowledged without effect, like a configuration that was applied and
   * then replaced: the request may be a resend whose first reply was lost.
   */
  Optional<ReplaceConfigurationReply> replyWithoutEffect(Configuration requested, View view) {
    return view.configuration()
        .filter(current -> requested.getNumber() <= current.number())
        .map(
            current ->
                ReplaceConfigurationReply.newBuilder()
                    .setNumber(current.number())
                    .setConflict(isConflict(requested, current))
                    .build());
  }

  private static boolean isConflict(Configuration requested, ConfigurationState current) {
    return requested.getNumber() == current.number()
        && !current.contentHash().equals(Bytes.of(requested.getContentHash().toByteArray()));
  }

  /** Plans the change to a configuration with a number greater than the current one. */
  Plan replace(Configuration requested, View view) {
    ConfigurationState next = StateCodec.configuration(requested);
    Plan plan = new Plan().change(ObjectState.newBuilder().setConfiguration(requested).build());
    next.connectionsPerServer()
        .forEach(
            (group, connections) -> plan.change(withConnectionLimit(group, connections, view)));
    view.configuration().stream()
        .flatMap(before -> before.connectionsPerServer().keySet().stream())
        .filter(group -> !next.connectionsPerServer().containsKey(group))
        .forEach(
            group -> plan.change(ObjectState.newBuilder().setRemovedGroup(group.value()).build()));
    return plan;
  }

  private ObjectState withConnectionLimit(GroupId id, int connections, View view) {
    GroupState group =
        view.group(id)
            .map(
                known ->
                    new GroupState(
                        id,
                        known.term(),
                        known.primary(),
                        known.termHistory(),
                        known.slotsPerServer(),
                        connections))
            .orElseGet(() -> new GroupState(id, 0, Optional.empty(), List.of(), 1, connections));
    return ObjectState.newBuilder()
        .setGroup(StateCodec.groupMessage(servers.withReportedPrimary(group, view)))
        .build();
  }
}
