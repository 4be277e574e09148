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
import org.alderyard.backend.BackendResponse;
import org.alderyard.backend.BackendStatement;
import org.alderyard.backend.ServerConnection;
import org.alderyard.backend.ServerConnector;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;

/** A {@link ServerConnector} whose connections answer from a script, one step per statement. */
public final class FakeServers implements ServerConnector {
  /** A statement and the server that received it. */
  public record Sent(ServerId server, BackendStatement statement) {}

  /** The statements sent, in order. */
  public final List<Sent> sent = new ArrayList<>();

  /** The number of open connections. */
  public int openConnections;

  private final Deque<Function<BackendStatement, CompletableFuture<BackendResponse>>> steps =
      new ArrayDeque<>();

  /** Answers the next statement with a position. */
  public FakeServers thenAnswer(long term, long index) {
    steps.add(
        statement ->
            CompletableFuture.completedFuture(
                new BackendResponse(
                    JsonNodeFactory.instance.numberNode(index), new Position(term, index))));
    return this;
  }

  /** Fails the next statement. */
  public FakeServers thenFail(RuntimeException failure) {
    steps.add(statement -> CompletableFuture.failedFuture(failure));
    return this;
  }

  /** Runs a step for the next statement. */
  public FakeServers thenRun(Function<BackendStatement, CompletableFuture<BackendResponse>> step) {
    steps.add(step);
    return this;
  }

  @Override
  public CompletableFuture<ServerConnection> connect(InetSocketAddress address, Duration timeout) {
    openConnections++;
    return CompletableFuture.completedFuture(new Connection(TestGroup.serverAt(address)));
  }

  private final class Connection implements ServerConnection {
    private final ServerId server;
    private boolean closed;

    Connection(ServerId server) {
      this.server = server;
    }

    @Override
    public CompletableFuture<BackendResponse> run(BackendStatement statement, Duration timeout) {
      sent.add(new Sent(server, statement));
      return steps.remove().apply(statement);
    }

    @Override
    public CompletableFuture<Void> begin(long term, Duration timeout) {
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<BackendResponse> commit(Duration timeout) {
      return steps.remove().apply(null);
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
        openConnections--;
      }
      closed = true;
    }
  }
}
