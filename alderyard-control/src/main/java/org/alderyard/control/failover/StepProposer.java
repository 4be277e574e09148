package org.alderyard.control.failover;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.GroupId;
import org.alderyard.control.log.ControlLog;
import org.alderyard.protocol.generated.control.Command;
import org.alderyard.protocol.generated.failover.FailoverStepReply;

/** Proposes failover steps to the control log. */
final class StepProposer {
  private final ControlLog controlLog;
  private final InstantSource wallClock;

  StepProposer(ControlLog controlLog, InstantSource wallClock) {
    this.controlLog = controlLog;
    this.wallClock = wallClock;
  }

  boolean isLeader() {
    return controlLog.isLeader();
  }

  long wallClockMillis() {
    return wallClock.millis();
  }

  /**
   * Proposes a step; the future completes once it is committed and applied on this host, whether it
   * was accepted or refused.
   */
  CompletableFuture<FailoverStepReply> propose(GroupId group, FailoverStep step) {
    ByteString command =
        Command.newBuilder()
            .setProposedAtMillis(wallClock.millis())
            .setFailoverStep(StepCodec.encode(group, step))
            .build()
            .toByteString();
    return controlLog.propose(command).thenApply(StepProposer::parse);
  }

  private static FailoverStepReply parse(ByteString bytes) {
    try {
      return FailoverStepReply.parseFrom(bytes);
    } catch (InvalidProtocolBufferException malformed) {
      throw AlderyardException.unknown(
          ErrorCode.INTERNAL, "failed to parse the reply to a failover step", malformed);
    }
  }
}
