package org.alderyard.control.promotion;

import java.util.concurrent.CompletableFuture;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerId;

/** A client of the external service that appoints primaries. */
@FunctionalInterface
public interface PrimaryPromoter {

  /**
   * Starts what the first call needs, such as threads; may block. Calls are made only after it has
   * returned.
   */
  default void prepare() {}

  /**
   * Requests the appointment of a new primary.
   *
   * @param controlLeader the leader of the control log, which decides the failovers of the group
   * @param fencingToken increases with each decision; the service refuses a token lower than the
   *     highest that it has received
   * @param permit checked immediately before the call leaves this host
   * @return a future that never completes exceptionally; a call without a response may still be
   *     executed later
   */
  CompletableFuture<PromotionResponse> promote(
      GroupId group, ServerId server, HostId controlLeader, long fencingToken, CallPermit permit);
}
