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

/** The replicas of the log: voters, which make up quorums, and learners, which only copy it. */
public final class Membership {
  /** No replicas: a new disk that no cluster has taken in yet. */
  public static final Membership EMPTY = new Membership(MemberList.getDefaultInstance());

  private final Map<Long, Member> members = new TreeMap<>();
  private final List<Long> voters = new ArrayList<>();

  /** Reads a list of members. */
  public Membership(MemberList list) {
    this(list.getMembersList());
  }

  /** Reads members. */
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

  /** Returns the members in the order of their ids. */
  public Collection<Member> members() {
    return members.values();
  }

  /** Returns the ids of all replicas. */
  public Set<Long> replicaIds() {
    return members.keySet();
  }

  /** Returns the ids of the voters. */
  public List<Long> voters() {
    return voters;
  }

  /** Returns a member by its id. */
  public Optional<Member> member(long replicaId) {
    return Optional.ofNullable(members.get(replicaId));
  }

  /** Returns the members that run on a host; while it is replaced these may be two. */
  public List<Member> membersOf(String hostId) {
    return members.values().stream().filter(member -> member.getHostId().equals(hostId)).toList();
  }

  /** Returns whether this replica may vote. */
  public boolean isVoter(long replicaId) {
    return members.containsKey(replicaId) && members.get(replicaId).getVoter();
  }

  /** Returns whether the voters that satisfy the test are a majority. */
  public boolean isQuorum(LongPredicate test) {
    long count = voters.stream().filter(test::test).count();
    return count > voters.size() / 2;
  }

  /** Returns the largest value that a majority of the voters has reached; 0 without voters. */
  public long quorumValue(LongUnaryOperator valueOf) {
    if (voters.isEmpty()) {
      return 0;
    }
    long[] values = voters.stream().mapToLong(valueOf::applyAsLong).sorted().toArray();
    return values[(values.length - 1) / 2];
  }

  /** Returns a copy with this member added or changed. */
  public Membership with(Member member) {
    Map<Long, Member> next = new TreeMap<>(members);
    next.put(member.getReplicaId(), member);
    return new Membership(next.values());
  }

  /** Returns a copy without this replica. */
  public Membership without(long replicaId) {
    Map<Long, Member> next = new TreeMap<>(members);
    next.remove(replicaId);
    return new Membership(next.values());
  }

  /** Returns the list for the log. */
  public MemberList toList() {
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
        .map(member -> member.getHostId() + "=" + member.getReplicaId() + role(member))
        .toList()
        .toString();
  }

  private static String role(Member member) {
    return member.getVoter() ? "" : "(learner)";
  }
}
