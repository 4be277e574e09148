package org.alderyard.proxy.callersession;

import org.alderyard.backend.ConnectionOwner;
import org.alderyard.common.view.OrganisationState;
import org.alderyard.proxy.pool.ConnectionSharing;
import org.alderyard.proxy.pool.OwnerWeights;
import org.alderyard.proxy.view.ViewHolder;

/** Weighs organisations by their priority in the current view. Thread-safe; acquires no lock. */
final class PriorityWeights implements OwnerWeights {
  /** Priorities from this one on have the same weight, an eighth, so that none starves. */
  private static final int LOWEST_PRIORITY = 3;

  private final ViewHolder views;

  private PriorityWeights(ViewHolder views) {
    this.views = views;
  }

  /** Returns the weights for a way to share connections. */
  static OwnerWeights of(ConnectionSharing sharing, ViewHolder views) {
    return sharing == ConnectionSharing.WEIGHTED ? new PriorityWeights(views) : EQUAL;
  }

  /** Returns 1 for priority 0 and for callers without an organisation, half for each next one. */
  @Override
  public double weight(ConnectionOwner owner) {
    int priority =
        views
            .current()
            .configuration()
            .flatMap(current -> current.organisations().byName(owner.organisation()))
            .map(OrganisationState::priority)
            .orElse(0);
    return Math.scalb(1.0, -Math.max(0, Math.min(LOWEST_PRIORITY, priority)));
  }
}
