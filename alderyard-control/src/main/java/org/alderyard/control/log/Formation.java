package org.alderyard.control.log;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.alderyard.protocol.generated.raft.FolderIdentity;
import org.alderyard.protocol.generated.raft.JoinReply;
import org.alderyard.protocol.generated.raft.Member;
import org.alderyard.protocol.generated.raft.MemberList;

/**
 * Decides whether a host with a new data folder founds a cluster or joins an existing one.
 *
 * <p>A cluster is founded only after all hosts in the settings have recorded the same list of
 * replica ids. A host whose replica id is missing from the list of an active member is a newcomer,
 * which becomes a learner before it may vote. Otherwise a voter whose disk was wiped could vote
 * twice in a term, or help to elect a leader that lacks committed entries.
 */
final class Formation {

  private Formation() {}

  /**
   * The next step of a host that is not part of a cluster yet.
   *
   * @param action the step to take
   * @param founders the founders to record; empty for {@code WAIT} and {@code JOIN}
   * @param reason the reason, as it is logged
   */
  record Decision(Action action, MemberList founders, String reason) {}

  /** The steps by which a host becomes part of a cluster. */
  enum Action {
    /** Retry later. */
    WAIT,
    /** Record the list of founders, then ask the other hosts again. */
    RECORD,
    /** Open the log with this list of founders as voters. */
    FOUND,
    /** Open the log without a vote, until a leader adds this replica. */
    JOIN
  }

  /**
   * Decides the next step from the replies of one join round.
   *
   * @param self this host as a member
   * @param identity the identity recorded in the data folder of this host
   * @param others the inner addresses of the other hosts in the settings, as {@code ip:port}
   * @param replies the replies of this round by address, without hosts that did not reply
   */
  static Decision decide(
      Member self, FolderIdentity identity, List<String> others, Map<String, JoinReply> replies) {
    Optional<MemberList> knownFounders =
        replies.values().stream()
            .filter(JoinReply::getFormed)
            .map(JoinReply::getFounders)
            .filter(founders -> founders.getMembersCount() > 0)
            .findFirst();
    if (knownFounders.isPresent()) {
      return foundOrJoin(self, knownFounders.get());
    }
    if (replies.values().stream().anyMatch(JoinReply::getFormed)) {
      return decideWithoutFounders(identity, others, replies);
    }
    if (replies.size() < others.size()) {
      return waitDecision("hosts-missing");
    }
    MemberList proposedFounders = collectFounders(self, others, replies);
    long distinctIds =
        proposedFounders.getMembersList().stream().map(Member::getReplicaId).distinct().count();
    if (distinctIds < proposedFounders.getMembersCount()) {
      return waitDecision("replica-ids-collide");
    }
    if (!identity.getFounders().equals(proposedFounders)) {
      return new Decision(Action.RECORD, proposedFounders, "founders-heard");
    }
    boolean allAgree =
        replies.values().stream().allMatch(reply -> reply.getFounders().equals(proposedFounders));
    return allAgree
        ? new Decision(Action.FOUND, proposedFounders, "founders-agreed")
        : waitDecision("founders-differ");
  }

  /**
   * Decides the next step of a host that may not found a cluster: the host joins as soon as an
   * active member replies.
   *
   * <p>Hosts that lose their disks, simultaneously or one after the other, would otherwise found a
   * second cluster next to the first.
   */
  static Decision decideToJoin(Member self, Map<String, JoinReply> replies) {
    boolean clusterExists = replies.values().stream().anyMatch(JoinReply::getFormed);
    if (!clusterExists) {
      return waitDecision("no-cluster-found");
    }
    return replies.values().stream()
        .filter(JoinReply::getFormed)
        .map(JoinReply::getFounders)
        .filter(founders -> founders.getMembersCount() > 0)
        .findFirst()
        .map(founders -> foundOrJoin(self, founders))
        .orElseGet(
            () -> new Decision(Action.JOIN, MemberList.getDefaultInstance(), "not-a-founder"));
  }

  private static Decision foundOrJoin(Member self, MemberList founders) {
    boolean isFounder =
        founders.getMembersList().stream()
            .anyMatch(member -> member.getReplicaId() == self.getReplicaId());
    return isFounder
        ? new Decision(Action.FOUND, founders, "founded-by-others")
        : new Decision(Action.JOIN, MemberList.getDefaultInstance(), "not-a-founder");
  }

  /**
   * Decides the next step when the only active members that replied joined later: a cluster exists,
   * but these members do not know its founders. Joining is always safe. A host that may be a
   * founder first waits for the replies of all other hosts.
   */
  private static Decision decideWithoutFounders(
      FolderIdentity identity, List<String> others, Map<String, JoinReply> replies) {
    boolean mayBeFounder = identity.getFounders().getMembersCount() > 0;
    return mayBeFounder && replies.size() < others.size()
        ? waitDecision("founders-missing")
        : new Decision(Action.JOIN, MemberList.getDefaultInstance(), "not-a-founder");
  }

  private static Decision waitDecision(String reason) {
    return new Decision(Action.WAIT, MemberList.getDefaultInstance(), reason);
  }

  private static MemberList collectFounders(
      Member self, List<String> others, Map<String, JoinReply> replies) {
    List<Member> members = new ArrayList<>();
    for (String other : others) {
      members.add(replies.get(other).getSelf().toBuilder().setAddress(other).build());
    }
    return MemberList.newBuilder()
        .addAllMembers(
            Stream.concat(Stream.of(self), members.stream())
                .map(member -> member.toBuilder().setVoter(true).build())
                .sorted(Comparator.comparing(Member::getAddress))
                .toList())
        .build();
  }
}
