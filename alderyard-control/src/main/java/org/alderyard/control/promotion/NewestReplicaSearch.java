package org.alderyard.control.promotion;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.session.ReplicationClient;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.view.ServerState;

/**
 * Chooses the replica with the highest position among those that respond at once, in a group
 * without synchronous replicas. Replicas that leave are not asked.
 */
final class NewestReplicaSearch implements ReplicaSearch {
  /** The time within which a replica must report its position to be a candidate. */
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(350);

  private final List<ServerState> replicas;
  private final ReplicationClient client;

  NewestReplicaSearch(List<ServerState> replicas, ReplicationClient client) {
    this.replicas = replicas.stream().filter(Candidate::isStaying).toList();
    this.client = client;
  }

  @Override
  public CompletableFuture<ReplicaChoice> run() {
    List<CompletableFuture<Optional<Candidate>>> probes =
        replicas.stream().map(this::probe).toList();
    return CompletableFuture.allOf(probes.toArray(CompletableFuture[]::new))
        .thenApply(
            ignored ->
                probes.stream()
                    .map(CompletableFuture::join)
                    .flatMap(Optional::stream)
                    .max(Candidate.BY_POSITION)
                    .map(best -> ReplicaChoice.of(best.server().id(), List.of()))
                    .orElseGet(() -> ReplicaChoice.failed("no-candidate", List.of())));
  }

  private CompletableFuture<Optional<Candidate>> probe(ServerState server) {
    return client
        .probe(server, PROBE_TIMEOUT)
        .handle(
            (status, failure) -> {
              if (failure != null) {
                Candidate.logMissing(server, Futures.toAlderyardException(failure).code());
                return Optional.empty();
              }
              Candidate candidate = new Candidate(server, status);
              candidate.logReport();
              return Optional.of(candidate);
            });
  }
}
