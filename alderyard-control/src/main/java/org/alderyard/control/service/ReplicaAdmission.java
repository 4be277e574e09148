package org.alderyard.control.service;

import java.util.concurrent.CompletableFuture;
import org.alderyard.common.view.ServerState;

/** Decides whether the announcement of a server may be confirmed. */
@FunctionalInterface
public interface ReplicaAdmission {
  /** Confirms all announcements. */
  ReplicaAdmission ALL = (server, started) -> CompletableFuture.completedFuture(true);

  /**
   * Decides about a server that is registered.
   *
   * @param started whether this is the first announcement of its incarnation
   * @return whether the announcement may be confirmed; never fails
   */
  CompletableFuture<Boolean> admit(ServerState server, boolean started);
}
