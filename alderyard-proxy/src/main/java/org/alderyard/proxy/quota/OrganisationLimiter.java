package org.alderyard.proxy.quota;

import java.util.concurrent.CompletableFuture;
import org.alderyard.common.view.OrganisationState;

/** Decides whether an operation of an organisation may begin. */
@FunctionalInterface
public interface OrganisationLimiter {
  /** Admits every operation. */
  OrganisationLimiter NONE =
      organisation -> CompletableFuture.completedFuture(QuotaDecision.ADMITTED);

  /** Returns the decision for one operation; the future never fails. */
  CompletableFuture<QuotaDecision> begin(OrganisationState organisation);
}
