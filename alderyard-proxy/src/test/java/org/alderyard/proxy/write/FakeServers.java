package org.alderyard.proxy.write;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.alderyard.backend.BackendAnswer;
import org.alderyard.backend.BackendStatement;
import org.alderyard.backend.ServerConnection;
import org.alderyard.backend.ServerConnector;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;

/** Connections that answer as the test says, one step for each statement. */
public final class FakeServers implements ServerConnector {
  /** A statement and the server that got it. */
  public record Sent(ServerId server, BackendStatement statement) {}

  /** What was sent, in order. */
  public final List<Sent> sent = new ArrayList<>();

  /** How many connections are open. */
  public int open;

  private final Deque<Function<BackendStatement, CompletableFuture<BackendAnswer>>> script =
      new ArrayDeque<>();

  /** The next statement is answered with this position. */
  public FakeServers answers(long term, long index) {
    script.add(
        statement ->
            CompletableFuture.completedFuture(
                new BackendAnswer(
                    JsonNodeFactory.instance.numberNode(index), new Position(term, index))));
    return this;
  }

  /** The next statement fails. */
  public FakeServers fails(RuntimeException failure) {
    script.add(statement -> CompletableFuture.failedFuture(failure));
    return this;
  }

  /** The next statement does what the step says. */
  public FakeServers does(Function<BackendStatement, CompletableFuture<BackendAnswer>> step) {
    script.add(step);
    return this;
  }

  @Override
  public CompletableFuture<ServerConnection> connect(InetSocketAddress address, Duration timeout) {
    open++;
    return CompletableFuture.completedFuture(new Connection(TestGroup.at(address)));
  }

  private final class Connection implements ServerConnection {
    private final ServerId server;
    private boolean closed;

    Connection(ServerId server) {
      this.server = server;
    }

    @Override
    public CompletableFuture<BackendAnswer> run(BackendStatement statement, Duration timeout) {
      sent.add(new Sent(server, statement));
      return script.remove().apply(statement);
    }

    @Override
    public CompletableFuture<Void> begin(long term, Duration timeout) {
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<BackendAnswer> commit(Duration timeout) {
      return script.remove().apply(null);
    }

    @Override
    public CompletableFuture<Void> rollback(Duration timeout) {
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public boolean usable() {
      return !closed;
    }

    @Override
    public void close() {
      if (!closed) {
        open--;
      }
      closed = true;
    }
  }
}
