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
import org.alderyard.protocol.generated.failover.FailoverStepEntry;
import org.alderyard.protocol.generated.failover.FailoverStepReply;
import org.alderyard.protocol.generated.failover.FailoverTableSnapshot;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.view.StateCodec;

/** The failover records of all groups, as the control log builds them. */
public final class FailoverTable implements FailoverHandler {
  // Guarded by this.
  private final Map<GroupId, FailoverRecord> records = new TreeMap<>();

  /** Returns the record of a group; one without a failover so far has that of its first primary. */
  public synchronized Optional<FailoverRecord> record(GroupId id, View view) {
    Optional<GroupState> group = view.group(id);
    if (group.isEmpty()) {
      return Optional.empty();
    }
    FailoverRecord known = records.get(id);
    if (known != null && known.term() >= group.get().term()) {
      return Optional.of(known);
    }
    return Optional.of(
        FailoverRecord.steady(id, group.get().term(), members(id, view), group.get().primary()));
  }

  /** Returns the servers of a group, whatever their status: a silent one still counts. */
  static List<ServerId> members(GroupId group, View view) {
    return view.serversOf(group).stream().map(ServerState::id).toList();
  }

  @Override
  public synchronized Applied apply(long index, ByteString bytes, View view) {
    FailoverStepEntry entry = StepCodec.parse(bytes);
    GroupId id = new GroupId(entry.getGroup());
    Optional<FailoverRecord> before = record(id, view);
    if (before.isEmpty()) {
      return new Applied(List.of(), reply(false, "GROUP_UNKNOWN").build().toByteString());
    }
    StepResult result = before.get().apply(StepCodec.step(entry));
    ByteString answer =
        reply(result.accepted(), result.reason().name())
            .setRecord(StepCodec.message(result.record()))
            .build()
            .toByteString();
    if (!result.accepted()) {
      return new Applied(List.of(), answer);
    }
    records.put(id, result.record());
    GroupState group = after(view.group(id).orElseThrow(), result.record());
    return new Applied(
        List.of(ObjectState.newBuilder().setGroup(StateCodec.groupMessage(group)).build()), answer);
  }

  private static FailoverStepReply.Builder reply(boolean accepted, String reason) {
    return FailoverStepReply.newBuilder().setAccepted(accepted).setReason(reason);
  }

  /** While a failover runs the group has no primary, so that proxies hold their writes. */
  private static GroupState after(GroupState group, FailoverRecord record) {
    boolean published = record.phase() == FailoverPhase.STEADY;
    List<TermStart> history = new ArrayList<>(group.termHistory());
    if (published) {
      record
          .choice()
          .ifPresent(
              choice ->
                  history.add(
                      new TermStart(record.term(), choice.held().index(), choice.held().term())));
    }
    return new GroupState(
        group.id(),
        record.term(),
        published ? record.choice().map(Choice::server) : Optional.empty(),
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
      snapshot
          .getRecordsList()
          .forEach(entry -> records.put(new GroupId(entry.getGroup()), StepCodec.record(entry)));
    } catch (InvalidProtocolBufferException damaged) {
      throw AlderyardException.notRun(
          ErrorCode.STORAGE_DAMAGED, "the failover records of a snapshot can't be read");
    }
  }
}
