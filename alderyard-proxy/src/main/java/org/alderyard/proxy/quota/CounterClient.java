package org.alderyard.proxy.quota;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.view.HostState;
import org.alderyard.protocol.generated.quota.TakeQuotaReply;
import org.alderyard.protocol.generated.quota.TakeQuotaRequest;

/** Sends requests for operations to counters. */
@FunctionalInterface
interface CounterClient {
  /** Returns the reply of a counter; the future fails without a reply within the timeout. */
  CompletableFuture<TakeQuotaReply> take(
      HostState counter, TakeQuotaRequest request, Duration timeout);
}
