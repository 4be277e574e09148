package org.alderyard.proxy.write;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.alderyard.backend.Progress;
import org.alderyard.backend.ServerAdmin;
import org.alderyard.backend.ServerReport;
import org.alderyard.backend.ServerRole;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.Position;
import org.alderyard.common.view.ServerState;

/**
 * Waits until a majority of a group's servers hold a write.
 *
 * <p>Guards against the loss of an acknowledged write: a primary that fails right after it ran a
 * write takes the write with it. Any later promotion fences a majority first, so one server of that
 * majority holds the write, and the promotion chooses the longest log.
 */
final class MajorityWait {
  private final ServerAdmin admin;

  MajorityWait(ServerAdmin admin) {
    this.admin = admin;
  }

  CompletableFuture<Void> await(
      Position position, ServerState primary, List<ServerState> servers, Duration wait) {
    int needed = servers.size() / 2;
    CompletableFuture<Void> result = new CompletableFuture<>();
    if (needed == 0) {
      result.complete(null);
      return result;
    }
    AtomicInteger holding = new AtomicInteger();
    AtomicInteger pending = new AtomicInteger(servers.size() - 1);
    for (ServerState server : servers) {
      if (server.id().equals(primary.id())) {
        continue;
      }
      admin
          .awaitPosition(server.address(), position, Progress.HELD, wait)
          .whenComplete(
              (report, failure) -> {
                if (failure == null && holds(report, position)) {
                  if (holding.incrementAndGet() == needed) {
                    result.complete(null);
                  }
                }
                if (pending.decrementAndGet() == 0) {
                  result.completeExceptionally(
                      new AlderyardException(
                          ErrorCode.NO_QUORUM,
                          Outcome.OUTCOME_UNKNOWN,
                          "the write ran, but no majority confirmed it in time"));
                }
              });
    }
    return result;
  }

  private static boolean holds(ServerReport report, Position position) {
    return report.term() == position.term()
        && report.role() == ServerRole.REPLICA
        && report.held().index() >= position.index();
  }
}
