package org.alderyard.control.failover;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.TermStart;
import org.alderyard.common.view.View;
import org.alderyard.control.state.FailoverHandler;
import org.alderyard.control.state.SnapshotFilter;
import org.alderyard.protocol.generated.failover.FailoverStepEntry;
import org.alderyard.protocol.generated.failover.FailoverStepReply;
import org.alderyard.protocol.generated.failover.FailoverTableSnapshot;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.view.StateCodec;

/** The failover records of all groups, built from the entries of the control log. */
public final class FailoverTable implements FailoverHandler {
  // Guarded by this.
  private final Map<GroupId, FailoverRecord> records = new TreeMap<>();

  /**
   * Returns the record of a group, empty if the view does not contain the group.
   *
   * <p>A group without a failover gets a steady record with the primary of the view.
   */
  public synchronized Optional<FailoverRecord> record(GroupId id, View view) {
    Optional<GroupState> group = view.group(id);
    if (group.isEmpty()) {
      return Optional.empty();
    }
    FailoverRecord stored = records.get(id);
    if (stored != null && stored.term() >= group.get().term()) {
      return Optional.of(stored);
    }
    return Optional.of(
        FailoverRecord.steady(id, group.get().term(), members(id, view), group.get().primary()));
  }

  /** Returns all servers of a group; an unresponsive server counts towards the majority as well. */
  static List<ServerId> members(GroupId group, View view) {
    return view.serversOf(group).stream().map(ServerState::id).toList();
  }

  @Override
  public void check(ByteString bytes) {
    FailoverStepEntry entry = StepCodec.parse(bytes);
    new GroupId(entry.getGroup());
    StepCodec.step(entry);
  }

  @Override
  public synchronized ApplyResult apply(long index, ByteString bytes, View view) {
    FailoverStepEntry entry = StepCodec.parse(bytes);
    GroupId id = new GroupId(entry.getGroup());
    Optional<FailoverRecord> current = record(id, view);
    if (current.isEmpty()) {
      return new ApplyResult(List.of(), newReply(false, "GROUP_UNKNOWN").build().toByteString());
    }
    StepResult result = current.get().apply(StepCodec.step(entry));
    ByteString encodedReply =
        newReply(result.accepted(), result.reason().name())
            .setRecord(StepCodec.message(result.record()))
            .build()
            .toByteString();
    if (!result.accepted()) {
      return new ApplyResult(List.of(), encodedReply);
    }
    GroupState group = toGroupState(view.group(id).orElseThrow(), result.record());
    return new ApplyResult(
        List.of(ObjectState.newBuilder().setGroup(StateCodec.groupMessage(group)).build()),
        encodedReply,
        () -> store(result.record()));
  }

  private synchronized void store(FailoverRecord record) {
    records.put(record.group(), record);
  }

  private static FailoverStepReply.Builder newReply(boolean accepted, String reason) {
    return FailoverStepReply.newBuilder().setAccepted(accepted).setReason(reason);
  }

  /** Returns the group without a primary while a failover runs, so that proxies hold its writes. */
  private static GroupState toGroupState(GroupState group, FailoverRecord record) {
    boolean published = record.phase() == FailoverPhase.STEADY;
    List<TermStart> history = new ArrayList<>(group.termHistory());
    if (published) {
      record
          .candidate()
          .ifPresent(
              candidate ->
                  history.add(
                      new TermStart(
                          record.term(),
                          candidate.lastPosition().index(),
                          candidate.lastPosition().term())));
    }
    return new GroupState(
        group.id(),
        record.term(),
        published ? record.candidate().map(Candidate::server) : Optional.empty(),
        history,
        group.slotsPerServer(),
        group.connectionsPerServer());
  }

  @Override
  public synchronized ByteString snapshot() {
    FailoverTableSnapshot.Builder snapshot = FailoverTableSnapshot.newBuilder();
    records.values().forEach(record -> snapshot.addRecords(StepCodec.message(record)));
    return snapshot.build().toByteString();
  }

  @Override
  public synchronized void restore(ByteString bytes) {
    try {
      FailoverTableSnapshot snapshot = FailoverTableSnapshot.parseFrom(bytes);
      records.clear();
      SnapshotFilter.readable(
              snapshot.getRecordsList(),
              entry -> "failover/" + entry.getGroup(),
              entry -> StepCodec.record(entry))
          .forEach(entry -> store(StepCodec.record(entry)));
    } catch (InvalidProtocolBufferException malformed) {
      throw AlderyardException.notRun(
          ErrorCode.STORAGE_DAMAGED, "failed to parse the failover records of a snapshot");
    }
  }
}
