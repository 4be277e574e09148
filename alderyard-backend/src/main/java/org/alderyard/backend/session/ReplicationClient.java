package org.alderyard.backend.session;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.view.ServerState;

/**
 * Queries and controls the replication of a server, at the cost of one statement a call.
 *
 * <p>Each call uses a dedicated connection, so that busy pools do not delay a failover. It fails
 * with {@code OVERLOADED} if the server has no free slot.
 */
public interface ReplicationClient {

  /** Queries a server's role and replication state. */
  CompletableFuture<ReplicationStatus> probe(ServerState server, Duration timeout);

  /**
   * Stops a replica from receiving commits until {@link #resume}, the next promotion or its
   * restart. The returned position does not grow any more.
   *
   * @param term a term greater than the newest term of the group
   */
  CompletableFuture<ReplicationStatus> pause(ServerState server, long term, Duration timeout);

  /** Lets a paused replica receive commits again. */
  CompletableFuture<ReplicationStatus> resume(ServerState server, Duration timeout);
}
