package org.alderyard.proxy.callersession;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.HostState;
import org.alderyard.protocol.generated.statement.EndHeldTransactionRequest;
import org.alderyard.protocol.generated.statement.HeldStatementReply;
import org.alderyard.protocol.generated.statement.HeldStatementRequest;
import org.alderyard.testkit.session.ModelGroup;

/** Several hosts that share an in-memory group. One host in each zone holds connections. */
final class FleetFixture implements AutoCloseable {
  /** Fewer connections per server than hosts, so that not all hosts hold connections. */
  private static final int CONNECTIONS_PER_SERVER = 2;

  private static final int FIRST_PORT = 7_000;

  /** How a holder handles forwarded statements. */
  enum Behavior {
    NORMAL,
    /** Refuses connections. */
    DOWN,
    /** Accepts statements, does not run them and does not reply. */
    HANGS,
    /** Runs statements, but its replies are lost. */
    LOSES_REPLIES
  }

  final ModelGroup group = new ModelGroup("g1", "s1", "s2", "s3");
  final List<HostState> states = new ArrayList<>();
  final Map<HostId, SessionFixture> hosts = new HashMap<>();
  private final Map<HostId, Behavior> behaviors = new HashMap<>();
  private final AtomicInteger sentStatements = new AtomicInteger();

  /** Creates one host per zone name; a name may occur several times. */
  FleetFixture(String... zones) {
    for (String zone : zones) {
      int number = states.size();
      states.add(
          new HostState(
              new HostId("h" + number),
              1,
              new ZoneName(zone),
              new InetSocketAddress("127.0.0.1", FIRST_PORT + number),
              new InetSocketAddress("127.0.0.1", FIRST_PORT + 100 + number),
              true,
              false,
              false));
    }
    for (HostState state : states) {
      SessionFixture host = new SessionFixture(state.zone().value(), group);
      hosts.put(state.id(), host);
      host.join(states, CONNECTIONS_PER_SERVER);
      host.service.connectToHosts(
          new HolderSelector(state.id(), state.zone(), holder -> true),
          new FakeHolderClient(),
          state);
    }
  }

  /** Returns the holders of the group, which are the same on all hosts. */
  List<HostState> holders() {
    return new HolderAssignment()
        .holders(hosts.get(states.get(0).id()).views.current(), group.id())
        .orElseThrow();
  }

  SessionFixture host(HostState state) {
    return hosts.get(state.id());
  }

  /** Returns a host that is not a holder. */
  SessionFixture nonHolder() {
    List<HostState> holders = holders();
    return states.stream()
        .filter(state -> !holders.contains(state))
        .findFirst()
        .map(this::host)
        .orElseThrow();
  }

  /** Returns the number of statements sent to holders. */
  int sentStatements() {
    return sentStatements.get();
  }

  void behavior(HostState host, Behavior behavior) {
    behaviors.put(host.id(), behavior);
  }

  private final class FakeHolderClient implements HolderClient {
    @Override
    public CompletableFuture<HeldStatementReply> run(
        HostState holder, HeldStatementRequest request, Duration timeout) {
      sentStatements.incrementAndGet();
      return switch (behaviors.getOrDefault(holder.id(), Behavior.NORMAL)) {
        case NORMAL -> serve(holder, request);
        case DOWN ->
            CompletableFuture.failedFuture(
                AlderyardException.notRun(ErrorCode.CONNECTION_LOST, "down"));
        case HANGS -> timeOut(timeout);
        case LOSES_REPLIES -> serve(holder, request).thenCompose(reply -> timeOut(timeout));
      };
    }

    private CompletableFuture<HeldStatementReply> serve(
        HostState holder, HeldStatementRequest request) {
      try {
        return host(holder).service.heldStatements().run(request);
      } catch (AlderyardException refused) {
        return CompletableFuture.failedFuture(refused);
      }
    }

    private CompletableFuture<HeldStatementReply> timeOut(Duration timeout) {
      CompletableFuture<HeldStatementReply> pending = new CompletableFuture<>();
      return pending
          .orTimeout(timeout.toNanos(), TimeUnit.NANOSECONDS)
          .exceptionallyCompose(
              failure ->
                  CompletableFuture.failedFuture(
                      new AlderyardException(
                          ErrorCode.DEADLINE_EXCEEDED, Outcome.OUTCOME_UNKNOWN, "no reply")));
    }

    @Override
    public void end(HostState holder, EndHeldTransactionRequest request) {
      if (behaviors.getOrDefault(holder.id(), Behavior.NORMAL) == Behavior.NORMAL) {
        host(holder).service.heldStatements().end(request);
      }
    }
  }

  @Override
  public void close() {
    hosts.values().forEach(SessionFixture::close);
  }
}
