package org.alderyard.proxy.quota;

import java.util.concurrent.CompletableFuture;
import org.alderyard.common.view.OrganisationState;

/** Decides whether an operation of an organisation may begin. */
@FunctionalInterface
public interface OrganisationLimiter {
  /** Admits every operation. */
  OrganisationLimiter NONE =
      (organisation, maxWaitMillis) -> CompletableFuture.completedFuture(QuotaDecision.ADMITTED);

  /**
   * Returns the decision for one operation; the future never fails.
   *
   * @param maxWaitMillis how long the operation waits for the next token, rather than being refused
   */
  CompletableFuture<QuotaDecision> begin(OrganisationState organisation, int maxWaitMillis);
}
