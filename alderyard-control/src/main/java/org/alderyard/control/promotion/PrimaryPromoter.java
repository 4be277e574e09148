package org.alderyard.control.promotion;

import java.util.concurrent.CompletableFuture;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerId;

/** A client of the external service that appoints primaries. */
@FunctionalInterface
public interface PrimaryPromoter {

  /**
   * Requests the appointment of a new primary.
   *
   * @param holder the host that decides the failovers of the group, that is, the control leader
   * @param fencingToken increases with each decision; the service refuses a token lower than the
   *     highest that it has received
   * @return a future that never completes exceptionally; a call without a response may still be
   *     executed later
   */
  CompletableFuture<PromotionAnswer> promote(
      GroupId group, ServerId server, HostId holder, long fencingToken);
}
