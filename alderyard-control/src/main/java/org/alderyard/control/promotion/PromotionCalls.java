package org.alderyard.control.promotion;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.HostTime;
import org.alderyard.control.log.ControlLog;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The calls that request one promotion, with the same arguments each time.
 *
 * <p>A call is sent only while a quorum confirms that this host still leads in the term in which it
 * obtained the token, and only within the time of its {@link CallPermit}. A host that was stopped
 * before a call would otherwise send a token that is lower than the one that the next leader has
 * used. A call is not repeated either once this host has a newer token for the group, as the next
 * attempt begins while a slow service still delays the calls of the one before.
 */
final class PromotionCalls {
  private static final Logger log = LoggerFactory.getLogger(PromotionCalls.class);

  /** The delay before a call that was throttled or got no response is repeated. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(150);

  /** Leaves half of the validity of a permit to open the connection. */
  private static final long MAX_FIRST_PERMIT_AGE_MILLIS = CallPermit.VALIDITY_MILLIS / 2;

  /** The number of calls without a definite response after which a candidate is chosen again. */
  private static final int MAX_CALLS = 6;

  private final PrimaryPromoter promoter;
  private final ControlLog controlLog;
  private final HostId self;
  private final WorkerPool workers;
  private final Supplier<HostTime> hostTime;
  private final Map<GroupId, Long> newestTokens = new ConcurrentHashMap<>();

  PromotionCalls(
      PrimaryPromoter promoter,
      ControlLog controlLog,
      HostId self,
      WorkerPool workers,
      Supplier<HostTime> hostTime) {
    this.promoter = promoter;
    this.controlLog = controlLog;
    this.self = self;
    this.workers = workers;
    this.hostTime = hostTime;
  }

  /**
   * A promotion.
   *
   * @param token the fencing token
   * @param term the term of the control log in which the token was obtained
   * @param tokenAskedTime when the token was requested from the log
   * @param startTime when the failover began
   */
  record Promotion(
      GroupId group,
      ServerId server,
      long token,
      long term,
      HostTime tokenAskedTime,
      HostTime startTime) {}

  /**
   * The end of the calls for one promotion.
   *
   * @param response the last response, which is neither accepted nor refused if this host stopped
   *     calling
   * @param executable whether one of the calls was executed or may still be executed
   */
  record Outcome(PromotionResponse response, boolean executable) {}

  /** Calls the promoter until it responds definitely. The future never fails. */
  CompletableFuture<Outcome> run(Promotion promotion) {
    newestTokens.merge(promotion.group(), promotion.token(), Math::max);
    Outcome none = new Outcome(PromotionResponse.NOT_SENT, false);
    CallPermit permit = new CallPermit(promotion.tokenAskedTime(), hostTime);
    return permit.ageMillis() <= MAX_FIRST_PERMIT_AGE_MILLIS
        ? call(promotion, 1, none, permit)
        : callIfLeading(promotion, 1, none);
  }

  private CompletableFuture<Outcome> call(
      Promotion promotion, int callNumber, Outcome last, CallPermit permit) {
    return promoter
        .promote(promotion.group(), promotion.server(), self, promotion.token(), permit)
        .thenCompose(
            response -> {
              logResponse(promotion, callNumber, response);
              Outcome outcome = new Outcome(response, last.executable() || isExecutable(response));
              return isDefinite(response) || callNumber >= MAX_CALLS
                  ? CompletableFuture.completedFuture(outcome)
                  : repeat(promotion, callNumber + 1, outcome);
            });
  }

  private static boolean isDefinite(PromotionResponse response) {
    return response == PromotionResponse.ACCEPTED || response == PromotionResponse.REFUSED;
  }

  private static boolean isExecutable(PromotionResponse response) {
    return response == PromotionResponse.ACCEPTED || response == PromotionResponse.UNKNOWN;
  }

  private CompletableFuture<Outcome> repeat(Promotion promotion, int callNumber, Outcome last) {
    CompletableFuture<Void> elapsed = new CompletableFuture<>();
    workers.schedule(RETRY_DELAY, () -> elapsed.complete(null));
    return elapsed.thenCompose(ignored -> callIfLeading(promotion, callNumber, last));
  }

  private CompletableFuture<Outcome> callIfLeading(
      Promotion promotion, int callNumber, Outcome last) {
    HostTime askedTime = hostTime.get();
    return controlLog
        .readBarrier()
        .handle((confirmed, failure) -> failure == null && mayCall(promotion))
        .thenCompose(
            mayCall ->
                mayCall
                    ? call(promotion, callNumber, last, new CallPermit(askedTime, hostTime))
                    : CompletableFuture.completedFuture(last));
  }

  private boolean mayCall(Promotion promotion) {
    return controlLog.term() == promotion.term()
        && newestTokens.get(promotion.group()) == promotion.token();
  }

  private void logResponse(Promotion promotion, int callNumber, PromotionResponse response) {
    log.info(
        "event=promotion-call group={} server={} token={} call={} answer={} after-millis={}",
        promotion.group(),
        promotion.server(),
        promotion.token(),
        callNumber,
        response,
        hostTime.get().elapsedMillisSince(promotion.startTime()));
  }
}
