package org.alderyard.proxy.write;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.Progress;
import org.alderyard.backend.ServerAdmin;
import org.alderyard.backend.ServerReport;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;

/** Keeps the polls open until the test answers them. */
public final class FakeReplicas implements ServerAdmin {
  private final Map<ServerId, CompletableFuture<ServerReport>> open = new HashMap<>();
  private final Map<ServerId, Position> asked = new HashMap<>();
  private final Map<ServerId, Integer> polls = new HashMap<>();

  /** Answers the poll of a server; the answer is the server's report. */
  void answer(ServerReport report) {
    CompletableFuture<ServerReport> poll;
    synchronized (this) {
      poll = open.remove(report.server());
    }
    poll.complete(report);
  }

  synchronized boolean polling(ServerId server) {
    return open.containsKey(server);
  }

  synchronized Position asked(ServerId server) {
    return asked.get(server);
  }

  synchronized int polls(ServerId server) {
    return polls.getOrDefault(server, 0);
  }

  @Override
  public synchronized CompletableFuture<ServerReport> awaitPosition(
      InetSocketAddress server, Position position, Progress progress, Duration wait) {
    ServerId id = TestGroup.at(server);
    polls.merge(id, 1, Integer::sum);
    asked.put(id, position);
    CompletableFuture<ServerReport> poll = new CompletableFuture<>();
    open.put(id, poll);
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
