package org.alderyard.cli.local;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.alderyard.cli.local.ChangeLedger.Acknowledgement;
import org.alderyard.cli.local.ChangeLedger.Requirement;
import org.alderyard.cli.local.SuspendableCluster.HeldSession;
import org.alderyard.cli.local.SuspendableCluster.Response;

/**
 * Sends changes to a cluster as operators do, and checks by sessions and fetches that each
 * acknowledged change is in force at all hosts.
 */
final class ChangeObserver implements AutoCloseable {
  private static final int LOGGED_ACKNOWLEDGEMENTS = 8;
  private static final int CONFIRMED = 200;
  private static final int CONFLICT = 409;
  private static final Duration IN_FORCE_EVERYWHERE = Duration.ofSeconds(3);
  private static final Duration OPERATORS_GIVE_UP = Duration.ofSeconds(15);
  private static final Duration RESEND_INTERVAL = Duration.ofMillis(10);
  private static final Duration PROBE_INTERVAL = Duration.ofMillis(20);
  private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration FETCH_LIMIT = Duration.ofSeconds(10);

  private final SuspendableCluster cluster;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final ChangeLedger ledger = new ChangeLedger();
  private final List<String> violations = Collections.synchronizedList(new ArrayList<>());
  private final AtomicInteger earlyRefusals = new AtomicInteger();
  private final AtomicInteger lateAnswers = new AtomicInteger();
  private final AtomicInteger heldChecks = new AtomicInteger();
  private final AtomicLong latestRefusalMillis = new AtomicLong();
  private final AtomicLong heartbeats = new AtomicLong();
  private final AtomicInteger nextVersion = new AtomicInteger(1);
  private volatile boolean ended;
  private OperatorChange inForce;
  private int acknowledgementsSeen;

  ChangeObserver(Path folder) throws IOException {
    cluster = new SuspendableCluster(folder);
  }

  /** Sends a first change and starts the probes of all hosts. */
  void start() {
    OperatorChange first = OperatorChange.of(nextVersion.getAndIncrement(), Set.of(), "base", 0);
    assertThat(sendUntilAnswered(0, first).isPresent()).isTrue();
    inForce = first;
    for (int host = 0; host < SuspendableCluster.HOSTS; host++) {
      int target = host;
      threads.execute(() -> sendHeartbeats(target));
      threads.execute(() -> probe(target));
      threads.execute(() -> probeHeldSessions(target));
    }
  }

  SuspendableCluster cluster() {
    return cluster;
  }

  /** Returns the configuration that the last check found in force. */
  OperatorChange inForce() {
    return inForce;
  }

  /** Reserves version numbers and returns the first one. */
  int reserveVersions(int count) {
    return nextVersion.getAndAdd(count);
  }

  static boolean isConfirmed(Optional<Response> response) {
    return response.filter(r -> r.status() == CONFIRMED).isPresent();
  }

  @Override
  public void close() throws Exception {
    ended = true;
    cluster.close();
    threads.shutdown();
    threads.awaitTermination(30, TimeUnit.SECONDS);
  }

  /** Commits entries that are no changes of the configuration. */
  private void sendHeartbeats(int host) {
    while (!ended) {
      cluster.heartbeat(host, "s" + host, heartbeat());
      SuspendableCluster.sleep(PROBE_INTERVAL);
    }
  }

  private String heartbeat() {
    long number = heartbeats.incrementAndGet();
    return ("{\"service\":\"g1\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\",\"version\":\"v1\","
            + "\"slots\":2,\"state\":\"ready\",\"cold_remaining_ms\":0,"
            + "\"db_role\":\"replica\",\"seq_no\":%d,\"born\":%d}")
        .formatted(number, number);
  }

  /** Opens sessions all the time: of the newest acknowledged change, and of the newest sent one. */
  private void probe(int host) {
    while (!ended) {
      ledger.newestRequirement().ifPresent(newest -> probe(host, newest));
      cluster.openSession(host, ledger.newestSent().added(), PROBE_TIMEOUT);
      SuspendableCluster.sleep(PROBE_INTERVAL);
    }
  }

  private void probe(int host, Requirement requirement) {
    long sentNanos = System.nanoTime();
    Optional<String> answer =
        cluster.openSession(host, requirement.change().added(), PROBE_TIMEOUT);
    if (!answer.orElse("").startsWith("ERROR NODB")
        || !ledger.isKeptByLaterChanges(requirement.change())) {
      return;
    }
    long sentAfterNanos = sentNanos - requirement.sinceNanos();
    long answeredAfterNanos = System.nanoTime() - requirement.sinceNanos();
    if (sentAfterNanos > IN_FORCE_EVERYWHERE.toNanos()) {
      violations.add(
          "session of %s at %s, %d ms after the acknowledgement of version %d: %s"
              .formatted(
                  requirement.change().added(),
                  SuspendableCluster.name(host),
                  sentAfterNanos / 1_000_000,
                  requirement.change().version(),
                  answer.get()));
    } else if (answeredAfterNanos > IN_FORCE_EVERYWHERE.toNanos()) {
      lateAnswers.incrementAndGet();
    } else {
      earlyRefusals.incrementAndGet();
      latestRefusalMillis.accumulateAndGet(sentAfterNanos / 1_000_000, Math::max);
    }
  }

  /** Sends a change to a host until it is acknowledged or in conflict; empty if neither. */
  Optional<Response> sendUntilAnswered(int host, OperatorChange change) {
    long end = System.nanoTime() + OPERATORS_GIVE_UP.toNanos();
    while (System.nanoTime() < end) {
      Optional<Response> response = send(host, change);
      if (response.filter(r -> r.status() == CONFIRMED || r.status() == CONFLICT).isPresent()) {
        return response;
      }
      SuspendableCluster.sleep(RESEND_INTERVAL);
    }
    return Optional.empty();
  }

  Optional<Response> send(int host, OperatorChange change) {
    ledger.recordSent(change);
    Optional<Response> response = cluster.replace(host, change);
    response
        .filter(r -> r.status() == CONFIRMED)
        .ifPresent(
            confirmed ->
                ledger.recordAcknowledged(
                    change, SuspendableCluster.name(host), System.nanoTime(), confirmed.body()));
    return response;
  }

  CompletableFuture<Void> after(Duration delay, Runnable action) {
    return CompletableFuture.runAsync(
        () -> {
          SuspendableCluster.sleep(delay);
          action.run();
        },
        threads);
  }

  /** Checks that each control host returns the newest acknowledged change or a newer one. */
  private void checkFetchedChanges() {
    for (int host = 0; host < SuspendableCluster.CONTROL_HOSTS; host++) {
      String name = SuspendableCluster.name(host);
      String json = fetch(host);
      Optional<OperatorChange> fetched = ledger.sentAs(json);
      int version = ChangeLedger.version(json).orElse(0);
      if (fetched.isEmpty() || version < ledger.highestAcknowledgedVersion()) {
        violations.add(
            "%s returns version %d, acknowledged: %d"
                .formatted(name, version, ledger.highestAcknowledgedVersion()));
        continue;
      }
      inForce = fetched.get();
      ledger.acknowledgements().stream()
          .filter(acknowledged -> acknowledged.change().version() == version)
          .filter(acknowledged -> !acknowledged.change().equals(inForce))
          .forEach(
              acknowledged ->
                  violations.add(
                      "%s returns %s instead of %s"
                          .formatted(name, inForce.databases(), ChangeLedger.text(acknowledged))));
    }
  }

  private String fetch(int host) {
    long end = System.nanoTime() + FETCH_LIMIT.toNanos();
    while (System.nanoTime() < end) {
      Optional<Response> response = cluster.fetch(host);
      if (response.filter(r -> r.status() == CONFIRMED).isPresent()) {
        return response.get().body();
      }
      SuspendableCluster.sleep(PROBE_INTERVAL);
    }
    throw new AssertionError(SuspendableCluster.name(host) + " returned no configuration");
  }

  /** Checks that no host refuses a database that the acknowledged changes contain. */
  private void checkSessions(int fromVersion) {
    for (Requirement requirement : ledger.requirements(fromVersion)) {
      for (int host = 0; host < SuspendableCluster.HOSTS; host++) {
        probe(host, requirement);
      }
    }
  }

  private void awaitInForceEverywhere() {
    long newestNanos =
        ledger.acknowledgements().stream().mapToLong(Acknowledgement::atNanos).max().orElseThrow();
    long remainingNanos = newestNanos + IN_FORCE_EVERYWHERE.toNanos() - System.nanoTime();
    SuspendableCluster.sleep(Duration.ofNanos(Math.max(0, remainingNanos)).plusMillis(50));
  }

  /** Uses a session of the newest acknowledged change for as long as later changes keep it. */
  private void probeHeldSessions(int host) {
    while (!ended) {
      Optional<Requirement> newest = ledger.newestRequirement();
      if (newest.isEmpty()) {
        SuspendableCluster.sleep(PROBE_INTERVAL);
        continue;
      }
      OperatorChange change = newest.get().change();
      try (HeldSession session = cluster.holdSession(host, change.added(), PROBE_TIMEOUT)) {
        while (!ended && ledger.newestRequirement().equals(newest)) {
          useHeldSession(host, change, session);
          SuspendableCluster.sleep(PROBE_INTERVAL);
        }
      } catch (IOException noSession) {
        SuspendableCluster.sleep(PROBE_INTERVAL);
      }
    }
  }

  private void useHeldSession(int host, OperatorChange change, HeldSession session)
      throws IOException {
    String answer = session.beginAndRollBack();
    heldChecks.incrementAndGet();
    if (answer.startsWith("ERROR NODB") && ledger.isKeptByLaterChanges(change)) {
      violations.add(
          "open session of %s at %s lost its database: %s"
              .formatted(change.added(), SuspendableCluster.name(host), answer));
    }
  }

  /** Checks all hosts once each acknowledged change is due; returns the new violations. */
  List<String> check(int fromVersion) {
    awaitInForceEverywhere();
    checkFetchedChanges();
    checkSessions(fromVersion);
    violations.addAll(ledger.contradictions());
    // The probes add violations meanwhile; none may fall between the copy and the removal.
    synchronized (violations) {
      List<String> found = List.copyOf(violations);
      violations.clear();
      return found;
    }
  }

  /** Returns what was observed since the last call, for the log. */
  String summary() throws IOException {
    List<Acknowledgement> all = ledger.acknowledgements();
    List<Acknowledgement> added = all.subList(acknowledgementsSeen, all.size());
    acknowledgementsSeen = all.size();
    return ("acknowledgements=%d acknowledged=%s in-force=%d early-refusals=%d latest-millis=%d"
            + " late-answers=%d held-checks=%d evidence=%s")
        .formatted(
            added.size(),
            added.stream()
                .map(ChangeLedger::text)
                .distinct()
                .limit(LOGGED_ACKNOWLEDGEMENTS)
                .toList(),
            inForce.version(),
            earlyRefusals.getAndSet(0),
            latestRefusalMillis.getAndSet(0),
            lateAnswers.getAndSet(0),
            heldChecks.getAndSet(0),
            cluster.newEvidence());
  }
}
