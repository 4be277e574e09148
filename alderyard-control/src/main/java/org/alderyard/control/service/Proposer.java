package org.alderyard.control.service;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.control.log.ControlLog;
import org.alderyard.protocol.generated.control.Command;

/**
 * Appends commands with a timestamp to the control log and parses the results of their application.
 */
final class Proposer {
  private final ControlLog controlLog;
  private final InstantSource wallClock;

  Proposer(ControlLog controlLog, InstantSource wallClock) {
    this.controlLog = controlLog;
    this.wallClock = wallClock;
  }

  CompletableFuture<ByteString> propose(Command.Builder command) {
    return controlLog.propose(
        command.setProposedAtMillis(wallClock.millis()).build().toByteString());
  }

  <R extends MessageLite> CompletableFuture<R> propose(Command.Builder command, Parser<R> answer) {
    return propose(command).thenApply(bytes -> parse(bytes, answer));
  }

  private static <R> R parse(ByteString bytes, Parser<R> parser) {
    try {
      return parser.parseFrom(bytes);
    } catch (InvalidProtocolBufferException damaged) {
      throw AlderyardException.unknown(
          ErrorCode.INTERNAL, "the reply of the control state can't be parsed", damaged);
    }
  }
}
