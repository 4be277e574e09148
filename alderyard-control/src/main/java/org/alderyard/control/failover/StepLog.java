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
final class StepLog {
  private final ControlLog controlLog;
  private final InstantSource wallClock;

  StepLog(ControlLog controlLog, InstantSource wallClock) {
    this.controlLog = controlLog;
    this.wallClock = wallClock;
  }

  boolean leading() {
    return controlLog.leading();
  }

  long wallMillis() {
    return wallClock.millis();
  }

  /** Completes once the step is committed and applied here, whether it was accepted or not. */
  CompletableFuture<FailoverStepReply> propose(GroupId group, FailoverStep step) {
    ByteString command =
        Command.newBuilder()
            .setProposedAtMillis(wallClock.millis())
            .setFailoverStep(StepCodec.bytes(group, step))
            .build()
            .toByteString();
    return controlLog.propose(command).thenApply(StepLog::parse);
  }

  private static FailoverStepReply parse(ByteString bytes) {
    try {
      return FailoverStepReply.parseFrom(bytes);
    } catch (InvalidProtocolBufferException damaged) {
      throw AlderyardException.unknown(ErrorCode.INTERNAL, "answer of a failover step", damaged);
    }
  }
}
