package org.alderyard.control.promotion;

import java.util.concurrent.CompletableFuture;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerId;

/** The service that appoints primaries. */
@FunctionalInterface
public interface PrimaryPromoter {

  /**
   * Asks for a new primary.
   *
   * @param holder the host that decides on the group now
   * @param fencingToken grows with each decision; the service refuses one that it has seen passed
   * @return never fails; a call without an answer may still be carried out later
   */
  CompletableFuture<PromotionAnswer> promote(
      GroupId group, ServerId server, HostId holder, long fencingToken);
}
