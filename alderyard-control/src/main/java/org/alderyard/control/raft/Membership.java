package org.alderyard.control.raft;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongPredicate;
import java.util.function.LongUnaryOperator;
import org.alderyard.protocol.generated.raft.Member;
import org.alderyard.protocol.generated.raft.MemberList;

/** The replicas of the log: voters, which form quorums, and learners, which only replicate it. */
public final class Membership {
  /** No members, as on a new disk that has not joined a cluster yet. */
  public static final Membership EMPTY = new Membership(MemberList.getDefaultInstance());

  private final Map<Long, Member> members = new TreeMap<>();
  private final List<Long> voters = new ArrayList<>();

  /** Creates a membership from its serialized form. */
  public Membership(MemberList list) {
    this(list.getMembersList());
  }

  /** Creates a membership. Of several members with the same replica id the last one counts. */
  public Membership(Collection<Member> list) {
    for (Member member : list) {
      members.put(member.getReplicaId(), member);
    }
    for (Member member : members.values()) {
      if (member.getVoter()) {
        voters.add(member.getReplicaId());
      }
    }
  }

  /** Returns all members in ascending order of replica id. */
  public Collection<Member> members() {
    return members.values();
  }

  /** Returns the replica ids of all members, voters and learners, in ascending order. */
  public Set<Long> replicaIds() {
    return members.keySet();
  }

  /** Returns the replica ids of the voters, in ascending order. */
  public List<Long> voters() {
    return voters;
  }

  /** Returns the member with a replica id, or empty if there is none. */
  public Optional<Member> member(long replicaId) {
    return Optional.ofNullable(members.get(replicaId));
  }

  /**
   * Returns the members on a host. There may be two while the replica on the host is being
   * replaced.
   */
  public List<Member> membersOnHost(String hostId) {
    return members.values().stream().filter(member -> member.getHostId().equals(hostId)).toList();
  }

  /** Returns whether a replica is a voter; false for an unknown replica. */
  public boolean isVoter(long replicaId) {
    return members.containsKey(replicaId) && members.get(replicaId).getVoter();
  }

  /** Returns whether a majority of the voters satisfies the predicate. */
  public boolean isQuorum(LongPredicate predicate) {
    long count = voters.stream().filter(predicate::test).count();
    return count > voters.size() / 2;
  }

  /**
   * Returns whether a majority of the voters satisfies the predicate, or exactly half of them while
   * another voter has lost its disk.
   *
   * <p>Half of an even number of voters has a voter in common with each majority. It has none in
   * common with the other half, which cannot act any more without the voter that lost its disk.
   */
  boolean isQuorum(LongPredicate predicate, LongPredicate hasLostDisk) {
    return isQuorum(predicate)
        || isHalf(predicate)
            && voters.stream().anyMatch(id -> !predicate.test(id) && hasLostDisk.test(id));
  }

  private boolean isHalf(LongPredicate predicate) {
    return 2 * voters.stream().filter(predicate::test).count() == voters.size();
  }

  /** Returns whether the number of voters is even, so that two halves of them may be disjoint. */
  boolean isEven() {
    return voters.size() % 2 == 0;
  }

  /** Returns the largest value that a majority of the voters has reached; 0 without voters. */
  public long quorumValue(LongUnaryOperator valueOf) {
    if (voters.isEmpty()) {
      return 0;
    }
    long[] values = voters.stream().mapToLong(valueOf::applyAsLong).sorted().toArray();
    return values[(values.length - 1) / 2];
  }

  /** Returns a copy with a member added, or replaced if its replica id is present. */
  public Membership with(Member member) {
    Map<Long, Member> copy = new TreeMap<>(members);
    copy.put(member.getReplicaId(), member);
    return new Membership(copy.values());
  }

  /** Returns a copy without the member with a replica id. */
  public Membership without(long replicaId) {
    Map<Long, Member> copy = new TreeMap<>(members);
    copy.remove(replicaId);
    return new Membership(copy.values());
  }

  /** Returns the serialized form, as stored in the log. */
  public MemberList toMemberList() {
    return MemberList.newBuilder().addAllMembers(members.values()).build();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Membership that && members.equals(that.members);
  }

  @Override
  public int hashCode() {
    return members.hashCode();
  }

  @Override
  public String toString() {
    return members.values().stream()
        .map(member -> member.getHostId() + "=" + member.getReplicaId() + learnerSuffix(member))
        .toList()
        .toString();
  }

  private static String learnerSuffix(Member member) {
    return member.getVoter() ? "" : "(learner)";
  }
}
