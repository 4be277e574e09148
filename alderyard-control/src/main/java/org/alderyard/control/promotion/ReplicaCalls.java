package org.alderyard.control.promotion;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.alderyard.backend.session.ReplicationClient;
import org.alderyard.backend.session.ReplicationStatus;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.view.ServerState;

/** Calls replicas and repeats a call while the replica is busy. Thread-safe. */
final class ReplicaCalls {
  static final Duration CALL_TIMEOUT = Duration.ofMillis(350);

  /** Statements of callers may occupy all slots of a replica for a moment. */
  private static final int MAX_BUSY_RETRIES = 12;

  private static final Duration BUSY_RETRY_DELAY = Duration.ofMillis(15);

  private final ReplicationClient client;
  private final WorkerPool workers;

  ReplicaCalls(ReplicationClient client, WorkerPool workers) {
    this.client = client;
    this.workers = workers;
  }

  /** Asks all servers for their state, and returns the reports of those that respond. */
  CompletableFuture<List<Candidate>> probe(List<ServerState> servers) {
    return callAll(servers, server -> client.probe(server, CALL_TIMEOUT));
  }

  /** Pauses all servers in a term, and returns the reports of those that respond. */
  CompletableFuture<List<Candidate>> pause(List<ServerState> servers, long term) {
    return callAll(servers, server -> client.pause(server, term, CALL_TIMEOUT));
  }

  private CompletableFuture<List<Candidate>> callAll(
      List<ServerState> servers,
      Function<ServerState, CompletableFuture<ReplicationStatus>> request) {
    List<CompletableFuture<Optional<Candidate>>> calls =
        servers.stream().map(server -> call(server, () -> request.apply(server), 0)).toList();
    return CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new))
        .thenApply(
            ignored ->
                calls.stream().map(CompletableFuture::join).flatMap(Optional::stream).toList());
  }

  private CompletableFuture<Optional<Candidate>> call(
      ServerState server, Supplier<CompletableFuture<ReplicationStatus>> request, int retries) {
    return request
        .get()
        .handle(
            (status, failure) -> {
              if (failure == null) {
                Candidate candidate = new Candidate(server, status);
                candidate.logReport();
                return CompletableFuture.completedFuture(Optional.of(candidate));
              }
              ErrorCode code = Futures.toAlderyardException(failure).code();
              if (code == ErrorCode.OVERLOADED && retries < MAX_BUSY_RETRIES) {
                return delay(BUSY_RETRY_DELAY)
                    .thenCompose(ignored -> call(server, request, retries + 1));
              }
              Candidate.logMissing(server, code);
              return CompletableFuture.completedFuture(Optional.<Candidate>empty());
            })
        .thenCompose(result -> result);
  }

  /** Returns a future that completes after the given time. */
  CompletableFuture<Void> delay(Duration duration) {
    CompletableFuture<Void> elapsed = new CompletableFuture<>();
    workers.schedule(duration, () -> elapsed.complete(null));
    return elapsed;
  }
}
