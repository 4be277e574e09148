package org.alderyard.backend.session;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.view.ServerState;

/** Queries a server's role and replication state, at the cost of one statement. */
@FunctionalInterface
public interface ReplicationStatusProbe {

  /** Queries on a dedicated connection, so that busy pools do not delay a failover. */
  CompletableFuture<ReplicationStatus> probe(ServerState server, Duration timeout);
}
