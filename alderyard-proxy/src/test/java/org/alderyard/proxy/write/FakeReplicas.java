package org.alderyard.proxy.write;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.LogProgress;
import org.alderyard.backend.ServerAdmin;
import org.alderyard.backend.ServerReport;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;

/** A {@link ServerAdmin} whose polls stay open until the test answers them. */
public final class FakeReplicas implements ServerAdmin {
  private final Map<ServerId, CompletableFuture<ServerReport>> openPolls = new HashMap<>();
  private final Map<ServerId, Position> requestedPositions = new HashMap<>();
  private final Map<ServerId, Integer> pollCounts = new HashMap<>();

  /** Answers the open poll of the server that the report is from. */
  void answer(ServerReport report) {
    CompletableFuture<ServerReport> poll;
    synchronized (this) {
      poll = openPolls.remove(report.server());
    }
    poll.complete(report);
  }

  synchronized boolean hasOpenPoll(ServerId server) {
    return openPolls.containsKey(server);
  }

  synchronized Position requestedPosition(ServerId server) {
    return requestedPositions.get(server);
  }

  synchronized int pollCount(ServerId server) {
    return pollCounts.getOrDefault(server, 0);
  }

  @Override
  public synchronized CompletableFuture<ServerReport> awaitPosition(
      InetSocketAddress server, Position position, LogProgress progress, Duration wait) {
    ServerId id = TestGroup.serverAt(server);
    pollCounts.merge(id, 1, Integer::sum);
    requestedPositions.put(id, position);
    CompletableFuture<ServerReport> poll = new CompletableFuture<>();
    openPolls.put(id, poll);
    return poll;
  }

  @Override
  public CompletableFuture<ServerReport> state(InetSocketAddress server, Duration timeout) {
    throw new AssertionError("not used by writes");
  }

  @Override
  public CompletableFuture<ServerReport> fence(
      InetSocketAddress server, long term, Duration timeout) {
    throw new AssertionError("not used by writes");
  }

  @Override
  public CompletableFuture<ServerReport> promote(
      InetSocketAddress server, long term, Duration timeout) {
    throw new AssertionError("not used by writes");
  }

  @Override
  public CompletableFuture<ServerReport> follow(
      InetSocketAddress server, long term, InetSocketAddress primary, Duration timeout) {
    throw new AssertionError("not used by writes");
  }
}
