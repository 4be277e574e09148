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
 * Decides whether a host with a new data folder founds a cluster or joins one.
 *
 * <p>Guards against a wiped voter that starts like a new one: it would give its vote a second time,
 * or help to elect a leader that lacks accepted changes. So a cluster is founded only once all
 * hosts of the settings have recorded the same list of replica ids, and a host whose id is not in
 * the list of a host that takes part already is a newcomer, which learns before it votes.
 */
final class Formation {

  private Formation() {}

  /**
   * What to do next.
   *
   * @param action the step
   * @param founders the list to record, where the step has one
   * @param reason why, for the log line
   */
  record Decision(Action action, MemberList founders, String reason) {}

  /** The steps of a formation. */
  enum Action {
    /** Ask again later. */
    WAIT,
    /** Record the list as the one to found the cluster with, and ask again. */
    RECORD,
    /** Take part with this list of founders. */
    FOUND,
    /** Take part without a vote until a leader takes this replica in. */
    JOIN
  }

  /**
   * Decides from one round of answers.
   *
   * @param self this host as a member
   * @param identity what this host has recorded
   * @param others the inner addresses of the other hosts of the settings, as {@code ip:port}
   * @param replies the answers of this round by address; a host that gave none is missing
   */
  static Decision decide(
      Member self, FolderIdentity identity, List<String> others, Map<String, JoinReply> replies) {
    Optional<MemberList> founded =
        replies.values().stream()
            .filter(JoinReply::getFormed)
            .map(JoinReply::getFounders)
            .filter(founders -> founders.getMembersCount() > 0)
            .findFirst();
    if (founded.isPresent()) {
      return follow(self, founded.get());
    }
    if (replies.values().stream().anyMatch(JoinReply::getFormed)) {
      return followNewcomers(identity, others, replies);
    }
    if (replies.size() < others.size()) {
      return waiting("hosts-missing");
    }
    MemberList heard = founders(self, others, replies);
    long ids = heard.getMembersList().stream().map(Member::getReplicaId).distinct().count();
    if (ids < heard.getMembersCount()) {
      return waiting("replica-ids-collide");
    }
    if (!identity.getFounders().equals(heard)) {
      return new Decision(Action.RECORD, heard, "founders-heard");
    }
    boolean agreed = replies.values().stream().allMatch(reply -> reply.getFounders().equals(heard));
    return agreed
        ? new Decision(Action.FOUND, heard, "founders-agreed")
        : waiting("founders-differ");
  }

  /**
   * Decides for a host that may not found: it joins as soon as a host answers that takes part.
   *
   * <p>Guards against hosts that lost their disks, all at once or one by one: they would found a
   * second cluster beside the first.
   */
  static Decision decideToJoin(Member self, Map<String, JoinReply> replies) {
    boolean cluster = replies.values().stream().anyMatch(JoinReply::getFormed);
    if (!cluster) {
      return waiting("no-cluster-found");
    }
    return replies.values().stream()
        .filter(JoinReply::getFormed)
        .map(JoinReply::getFounders)
        .filter(founders -> founders.getMembersCount() > 0)
        .findFirst()
        .map(founders -> follow(self, founders))
        .orElseGet(
            () -> new Decision(Action.JOIN, MemberList.getDefaultInstance(), "not-a-founder"));
  }

  private static Decision follow(Member self, MemberList founders) {
    boolean founder =
        founders.getMembersList().stream()
            .anyMatch(member -> member.getReplicaId() == self.getReplicaId());
    return founder
        ? new Decision(Action.FOUND, founders, "founded-by-others")
        : new Decision(Action.JOIN, MemberList.getDefaultInstance(), "not-a-founder");
  }

  /**
   * Decides when only hosts that joined later answered: a cluster exists, and they don't know who
   * founded it. To join is safe for anyone; a host that may be a founder first asks all others.
   */
  private static Decision followNewcomers(
      FolderIdentity identity, List<String> others, Map<String, JoinReply> replies) {
    boolean mayBeFounder = identity.getFounders().getMembersCount() > 0;
    return mayBeFounder && replies.size() < others.size()
        ? waiting("founders-missing")
        : new Decision(Action.JOIN, MemberList.getDefaultInstance(), "not-a-founder");
  }

  private static Decision waiting(String reason) {
    return new Decision(Action.WAIT, MemberList.getDefaultInstance(), reason);
  }

  private static MemberList founders(
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
