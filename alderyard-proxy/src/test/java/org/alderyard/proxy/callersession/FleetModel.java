package org.alderyard.proxy.callersession;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.LongToDoubleFunction;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.start.StartLog;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.protocol.generated.control.HeartbeatReply;
import org.alderyard.protocol.generated.control.HeartbeatRequest;
import org.alderyard.protocol.health.ReadReportTable;
import org.alderyard.proxy.serverhealth.FleetSize;
import org.alderyard.proxy.serverhealth.GroupHealth;
import org.alderyard.proxy.serverhealth.HealthOptions;
import org.alderyard.proxy.serverhealth.ReadOutcome;

/** Discrete-event model of a fleet of hosts that send reads to the three servers of a group. */
final class FleetModel {
  static final long MILLI = 1_000_000;
  static final int SLOTS = 6;
  static final double SERVICE_MILLIS = 30;
  private static final long HEARTBEAT = 750 * MILLI;
  private static final long TRANSIT = MILLI;
  private static final GroupRouting.Floor FLOOR = new GroupRouting.Floor(Position.NONE, 0);

  /** A server; its behaviour is a function of the time. */
  static final class Server {
    ServerState state;
    LongToDoubleFunction slowness = now -> 1;
    LongToDoubleFunction failing = now -> 0;
    int inFlight;
    final List<Long> answers = new ArrayList<>();
    final List<Long> failures = new ArrayList<>();
    final List<Long> refusals = new ArrayList<>();
    int late;

    Server(int number) {
      state = state(number, 1);
    }

    static ServerState state(int number, long incarnation) {
      return new ServerState(
          new ServerId("s" + number),
          incarnation,
          new GroupId("g"),
          new ZoneName("z"),
          InetSocketAddress.createUnresolved("s" + number, 1),
          ServerStatus.ACTIVE);
    }
  }

  private record Event(long atNanos, long order, Runnable action) {}

  final List<Server> servers = List.of(new Server(0), new Server(1), new Server(2));
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::atNanos).thenComparing(Event::order));
  private final List<GroupRouting> hosts = new ArrayList<>();
  private final ReadReportTable table = new ReadReportTable();
  private final Random random;
  private long order;
  long now;
  int unserved;
  boolean leaderLost;

  /** The share of hosts' statements that may go to a server; used by the fixed ramp only. */
  LongToDoubleFunction ramp = time -> 1;

  FleetModel(int hostCount, double statementsPerSecond, HealthOptions options, long seed) {
    random = new Random(seed);
    for (int i = 0; i < hostCount; i++) {
      GroupHealth health =
          new GroupHealth(options, random.nextDouble(), () -> new FleetSize(hostCount, SLOTS));
      GroupRouting routing = new GroupRouting(new ZoneName("z"), new StartLog(), health);
      hosts.add(routing);
      String name = "h" + i;
      HealthExchange exchange = new HealthExchange(() -> List.of(routing), () -> now);
      if (options.shared()) {
        at((long) (random.nextDouble() * HEARTBEAT), () -> heartbeat(name, exchange));
      }
    }
    at(0, () -> arrive(statementsPerSecond));
  }

  void at(long atNanos, Runnable action) {
    events.add(new Event(atNanos, order++, action));
  }

  void runUntil(long endNanos) {
    while (events.peek().atNanos() <= endNanos) {
      Event event = events.remove();
      now = event.atNanos();
      event.action().run();
    }
    now = endNanos;
  }

  private void heartbeat(String host, HealthExchange exchange) {
    HeartbeatRequest.Builder request = HeartbeatRequest.newBuilder();
    exchange.addTo(request);
    at(now + HEARTBEAT, () -> heartbeat(host, exchange));
    if (leaderLost) {
      return;
    }
    at(
        now + TRANSIT,
        () -> {
          HeartbeatReply reply =
              HeartbeatReply.newBuilder()
                  .setHasReads(true)
                  .addAllReads(table.exchange(host, request.getReadsList(), now))
                  .build();
          at(now + TRANSIT, () -> exchange.onReply(reply));
        });
  }

  private void arrive(double perSecond) {
    GroupRouting host = hosts.get(random.nextInt(hosts.size()));
    run(host, new HashSet<>(), now, false);
    at(now + (long) (exponential() * 1_000 * MILLI / perSecond), () -> arrive(perSecond));
  }

  private double exponential() {
    return -Math.log(1 - random.nextDouble());
  }

  private void run(GroupRouting host, Set<ServerId> tried, long since, boolean failedOnce) {
    if (now - since > 500 * MILLI) {
      unserved++;
      return;
    }
    List<ServerState> states = servers.stream().map(server -> server.state).toList();
    Optional<Server> selected =
        host.readCandidates(states, Optional.empty(), FLOOR, now).stream()
            .filter(state -> !tried.contains(state.id()))
            .filter(state -> !host.knownToRefuse(state, Optional.of(FLOOR), false, now))
            .filter(state -> !state.id().value().equals("s0") || rampAdmits())
            .map(state -> servers.get(states.indexOf(state)))
            .findFirst();
    if (selected.isEmpty()) {
      at(now + 16 * MILLI, () -> run(host, new HashSet<>(), since, failedOnce));
      return;
    }
    tried.add(selected.get().state.id());
    host.started(selected.get().state, now);
    long sent = now;
    at(now + TRANSIT, () -> receive(selected.get(), host, tried, since, sent, failedOnce));
  }

  private boolean rampAdmits() {
    double share = ramp.applyAsDouble(now);
    return share >= 1 || random.nextDouble() < share;
  }

  private void receive(
      Server server, GroupRouting host, Set<ServerId> tried, long since, long sent, boolean again) {
    ServerState state = server.state;
    if (server.inFlight >= SLOTS) {
      server.refusals.add(now);
      at(now + TRANSIT, () -> refused(state, host, tried, since, sent, again));
      return;
    }
    server.inFlight++;
    boolean fails = random.nextDouble() < server.failing.applyAsDouble(now);
    // Service times vary as the sum of two exponential ones does.
    double variation = (exponential() + exponential()) / 2;
    double millis = SERVICE_MILLIS * server.slowness.applyAsDouble(now) * variation;
    at(
        now + (long) (millis * MILLI),
        () -> {
          server.inFlight--;
          (fails ? server.failures : server.answers).add(now);
          server.late += !fails && now - sent > 4 * SERVICE_MILLIS * MILLI ? 1 : 0;
          at(now + TRANSIT, () -> replied(state, host, tried, since, sent, fails, again));
        });
  }

  private void refused(
      ServerState state,
      GroupRouting host,
      Set<ServerId> tried,
      long since,
      long sent,
      boolean again) {
    host.answered(state, now, now - sent, false, Optional.empty());
    host.recordBusy(state, now);
    host.recordRead(state, ReadOutcome.REFUSED, now - sent, now);
    host.ended(state);
    run(host, tried, since, again);
  }

  private void replied(
      ServerState state,
      GroupRouting host,
      Set<ServerId> tried,
      long since,
      long sent,
      boolean failed,
      boolean again) {
    host.answered(state, now, now - sent, true, Optional.empty());
    if (failed) {
      host.recordFailed(state, now);
    }
    host.recordRead(state, failed ? ReadOutcome.FAILED : ReadOutcome.ANSWERED, now - sent, now);
    host.ended(state);
    if (failed && !again) {
      run(host, tried, since, true);
    }
  }

  /** Returns the number of hosts that have ejected a server. */
  long ejectingHosts() {
    return hosts.stream().filter(host -> host.queryHealth(GroupHealth::ejectedCount) > 0).count();
  }

  /** Returns the largest number of servers that any host has ejected. */
  int maxEjected() {
    return hosts.stream().mapToInt(h -> h.queryHealth(GroupHealth::ejectedCount)).max().orElse(0);
  }

  /** Counts the times in a span. */
  static long within(List<Long> times, long fromNanos, long toNanos) {
    return times.stream().filter(time -> time >= fromNanos && time < toNanos).count();
  }
}
