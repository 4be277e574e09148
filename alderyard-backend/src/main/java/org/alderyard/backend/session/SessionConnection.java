package org.alderyard.backend.session;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.PooledConnection;

/** A connection to a backend server that holds a session. */
public interface SessionConnection extends PooledConnection {

  /**
   * Sends requests in a pipeline, without waiting between them, and returns their replies.
   *
   * <p>If a reply is missing after the timeout, or the connection fails, the future fails and the
   * connection is closed; the requests may have run.
   *
   * @return the replies in the order of the requests; a refusal is a reply
   */
  CompletableFuture<List<SessionReply>> run(List<SessionRequest> requests, Duration timeout);
}
