package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.alderyard.backend.session.SessionConnection;
import org.alderyard.backend.session.SessionConnector;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.SessionRequest;
import org.alderyard.backend.session.SessionStatement;
import org.alderyard.backend.session.SessionStatement.Begin;
import org.alderyard.backend.session.SessionStatement.Commit;
import org.alderyard.backend.session.SessionStatement.Rollback;
import org.alderyard.backend.session.SessionStatement.Write;
import org.alderyard.backend.session.TransactionState;
import org.alderyard.common.id.Position;
import org.alderyard.common.view.ServerState;

/** Servers in memory that run every statement at once; all of them hold the whole log. */
final class RehearsalServers implements SessionConnector {
  private final AtomicLong lastIndex = new AtomicLong(1);

  @Override
  public CompletableFuture<SessionConnection> connect(ServerState server, Duration timeout) {
    return CompletableFuture.completedFuture(new Connection());
  }

  /** One session; the caller of this object sends one statement after the other. */
  private final class Connection implements SessionConnection {
    private TransactionState state = TransactionState.NONE;

    @Override
    public CompletableFuture<List<SessionReply>> run(
        List<SessionRequest> requests, Duration timeout) {
      List<SessionReply> replies = new ArrayList<>();
      for (SessionRequest request : requests) {
        replies.add(reply(request.statement()));
      }
      return CompletableFuture.completedFuture(replies);
    }

    private synchronized SessionReply reply(SessionStatement statement) {
      if (statement instanceof Begin) {
        state = TransactionState.OPEN;
      } else if (statement instanceof Commit || statement instanceof Rollback) {
        state = TransactionState.NONE;
      } else if (statement instanceof Write) {
        lastIndex.incrementAndGet();
      }
      return new SessionReply(
          List.of("row"),
          Optional.of("proof"),
          Optional.empty(),
          state,
          Optional.of(new Position(1, lastIndex.get())));
    }

    @Override
    public boolean usable() {
      return true;
    }

    @Override
    public void close() {
      // Nothing is held.
    }
  }
}
