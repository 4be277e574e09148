package org.alderyard.backend.session;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.PooledConnection;

/** One connection to a backend server that keeps a session. */
public interface SessionConnection extends PooledConnection {

  /**
   * Sends requests one behind the other without waiting, and returns their replies.
   *
   * <p>When not all replies have come within the timeout, or the connection breaks, the future
   * fails, the connection is closed, and what was sent may have run.
   *
   * @return the replies in order; a refusal is a reply
   */
  CompletableFuture<List<SessionReply>> run(List<SessionRequest> requests, Duration timeout);
}
