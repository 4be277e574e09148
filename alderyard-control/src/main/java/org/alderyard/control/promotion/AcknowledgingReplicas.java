package org.alderyard.control.promotion;

import java.util.Map;
import java.util.stream.Collectors;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.View;

/**
 * The replicas whose receipt may acknowledge a commit of a group, as of one view. A choice among
 * them is safe only while no other replica can acknowledge.
 *
 * @param syncReplicas the replicas that have received a commit before it is acknowledged; 0 if a
 *     commit does not wait for any
 * @param incarnations the incarnation of each replica
 */
record AcknowledgingReplicas(GroupId group, int syncReplicas, Map<ServerId, Long> incarnations) {

  static AcknowledgingReplicas of(View view, GroupState group) {
    return new AcknowledgingReplicas(
        group.id(),
        ReplicaMembership.syncReplicas(view, group.id()),
        ReplicaMembership.replicasOf(view, group).stream()
            .collect(Collectors.toUnmodifiableMap(ServerState::id, ServerState::incarnation)));
  }

  /**
   * Returns whether these are still all replicas of the group: none has registered or started again
   * since, and as many of them as before acknowledge a commit.
   */
  boolean areComplete(View view) {
    return view.group(group).map(state -> of(view, state)).filter(this::covers).isPresent();
  }

  private boolean covers(AcknowledgingReplicas current) {
    return current.syncReplicas == syncReplicas
        && (syncReplicas == 0
            || incarnations.entrySet().containsAll(current.incarnations.entrySet()));
  }
}
