package org.alderyard.proxy.quota;

import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.ObjLongConsumer;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.protocol.generated.quota.TakeQuotaReply;

/** Delivers the replies of counters after random times, or never. */
record LateReplies(int maxMillis, double lostShare, Random random) {
  static final LateReplies NONE = new LateReplies(0, 0, new Random(0));

  /** Time after which a host gives up on a counter. */
  private static final int TIMEOUT_MILLIS = 250;

  static AlderyardException noReply() {
    return AlderyardException.notRun(ErrorCode.CONNECTION_LOST, "no reply");
  }

  /**
   * Returns a reply as its receiver gets it.
   *
   * @param timer runs a task after a number of milliseconds
   */
  CompletableFuture<TakeQuotaReply> deliver(TakeQuotaReply reply, ObjLongConsumer<Runnable> timer) {
    if (maxMillis == 0) {
      return CompletableFuture.completedFuture(reply);
    }
    CompletableFuture<TakeQuotaReply> delivered = new CompletableFuture<>();
    if (random.nextDouble() < lostShare) {
      timer.accept(() -> delivered.completeExceptionally(noReply()), TIMEOUT_MILLIS);
    } else {
      timer.accept(() -> delivered.complete(reply), random.nextInt(maxMillis));
    }
    return delivered;
  }
}
