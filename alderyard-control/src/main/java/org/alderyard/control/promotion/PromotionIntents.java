package org.alderyard.control.promotion;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerId;
import org.alderyard.control.log.ControlLog;
import org.alderyard.protocol.generated.control.Command;
import org.alderyard.protocol.generated.control.PromotionIntent;
import org.alderyard.protocol.generated.control.PromotionIntentReply;
import org.alderyard.protocol.generated.control.PromotionWithdrawal;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Commits the intents to promote servers to the control log, where later leaders find them.
 *
 * <p>Thread-safe.
 */
final class PromotionIntents {
  private static final Logger log = LoggerFactory.getLogger(PromotionIntents.class);

  private final ControlLog controlLog;
  private final HostId self;

  PromotionIntents(ControlLog controlLog, HostId self) {
    this.controlLog = controlLog;
    this.self = self;
  }

  /**
   * The permission to call for a promotion.
   *
   * @param value the fencing token
   * @param term the term of the control log in which it was requested
   */
  record Token(long value, long term) {}

  /** Commits an intent and returns the token of its calls. */
  CompletableFuture<Token> propose(GroupId group, ServerId server) {
    long term = controlLog.term();
    return controlLog
        .propose(
            Command.newBuilder()
                .setPromotionIntent(
                    PromotionIntent.newBuilder()
                        .setGroup(group.value())
                        .setServer(server.value())
                        .setHolder(self.value()))
                .build()
                .toByteString())
        .thenApply(reply -> new Token(parseToken(reply), term));
  }

  private static long parseToken(ByteString reply) {
    try {
      return PromotionIntentReply.parseFrom(reply).getFencingToken();
    } catch (InvalidProtocolBufferException malformed) {
      throw AlderyardException.notRun(ErrorCode.INTERNAL, "failed to parse the fencing token");
    }
  }

  /** Withdraws an intent whose calls were not executed, so that paused replicas may resume. */
  void withdraw(GroupId group, Token token) {
    controlLog
        .propose(
            Command.newBuilder()
                .setPromotionWithdrawal(
                    PromotionWithdrawal.newBuilder()
                        .setGroup(group.value())
                        .setFencingToken(token.value()))
                .build()
                .toByteString())
        .whenComplete(
            (reply, failure) ->
                log.info(
                    "event=promotion-withdrawn group={} token={} committed={}",
                    group,
                    token.value(),
                    failure == null));
  }
}
