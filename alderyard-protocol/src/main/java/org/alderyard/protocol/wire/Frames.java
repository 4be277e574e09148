package org.alderyard.protocol.wire;

import com.google.protobuf.ByteString;
import java.time.Duration;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.NotLeaderException;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.Addresses;
import org.alderyard.protocol.generated.envelope.Envelope;
import org.alderyard.protocol.generated.envelope.ErrorReply;
import org.alderyard.protocol.generated.envelope.Reply;
import org.alderyard.protocol.generated.envelope.Request;

/** Encodes requests, replies and errors as frames, and decodes errors. */
final class Frames {

  private Frames() {}

  static Envelope request(long correlationId, int method, ByteString payload, Duration timeout) {
    return Envelope.newBuilder()
        .setRequest(
            Request.newBuilder()
                .setCorrelationId(correlationId)
                .setMethod(method)
                .setPayload(payload)
                .setTimeoutMillis((int) timeout.toMillis()))
        .build();
  }

  static Envelope reply(long correlationId, ByteString payload) {
    return Envelope.newBuilder()
        .setReply(Reply.newBuilder().setCorrelationId(correlationId).setPayload(payload))
        .build();
  }

  static Envelope error(long correlationId, Throwable failure) {
    AlderyardException error = Futures.toAlderyardException(failure);
    ErrorReply.Builder reply =
        ErrorReply.newBuilder()
            .setCorrelationId(correlationId)
            .setCode(error.code().name())
            .setOutcome(error.outcome().name())
            .setMessage(String.valueOf(error.getMessage()))
            .setRetryAfterMillis(error.retryAfterMillis().orElse(0));
    if (error instanceof NotLeaderException notLeader) {
      notLeader.leader().map(Addresses::text).ifPresent(reply::setLeaderAddress);
    }
    return Envelope.newBuilder().setError(reply).build();
  }

  /**
   * Returns the error that a reply contains. A code or outcome that this build does not know
   * becomes {@code INTERNAL} with an unknown outcome.
   */
  static AlderyardException toException(ErrorReply error) {
    ErrorCode code = ErrorCode.INTERNAL;
    Outcome outcome = Outcome.OUTCOME_UNKNOWN;
    try {
      code = ErrorCode.valueOf(error.getCode());
      outcome = Outcome.valueOf(error.getOutcome());
    } catch (IllegalArgumentException newerPeer) {
      return new AlderyardException(
          code, Outcome.OUTCOME_UNKNOWN, error.getCode() + ": " + error.getMessage());
    }
    if (code == ErrorCode.NOT_LEADER && outcome == Outcome.NOT_RUN) {
      return new NotLeaderException(
          error.getMessage(),
          Addresses.parse(error.getLeaderAddress()),
          error.getRetryAfterMillis());
    }
    if (outcome == Outcome.NOT_RUN && error.getRetryAfterMillis() > 0) {
      return AlderyardException.notRun(code, error.getMessage(), error.getRetryAfterMillis());
    }
    return new AlderyardException(code, outcome, error.getMessage());
  }
}
