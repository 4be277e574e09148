package org.alderyard.protocol.control;

import com.google.protobuf.MessageLite;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.protocol.wire.Method;
import org.alderyard.protocol.wire.PeerLinks;

/**
 * Sends requests to the control host that leads, and looks for it when it moved.
 *
 * <p>A request whose outcome is unknown is sent to another host only when the caller says that it
 * is idempotent.
 */
public final class ControlClient {
  private final PeerLinks links;
  private final List<InetSocketAddress> controlHosts;
  private final AtomicInteger preferred = new AtomicInteger();

  /** Uses the given links to the given inner addresses. */
  public ControlClient(PeerLinks links, List<InetSocketAddress> controlHosts) {
    this.links = links;
    this.controlHosts = List.copyOf(controlHosts);
  }

  /** Sends an idempotent request to one host after another until one serves it. */
  public <Q extends MessageLite, R extends MessageLite> CompletableFuture<R> callIdempotent(
      Method<Q, R> method, Q request, Duration timeout) {
    return attempt(method, request, timeout, controlHosts.size());
  }

  private <Q extends MessageLite, R extends MessageLite> CompletableFuture<R> attempt(
      Method<Q, R> method, Q request, Duration timeout, int triesLeft) {
    if (triesLeft == 0) {
      return CompletableFuture.failedFuture(
          new AlderyardException(
              ErrorCode.NO_QUORUM,
              Outcome.OUTCOME_UNKNOWN,
              "no control host served " + method.name()));
    }
    int index = Math.floorMod(preferred.get(), controlHosts.size());
    CompletableFuture<R> result = new CompletableFuture<>();
    links
        .to(controlHosts.get(index))
        .call(method, request, timeout)
        .whenComplete(
            (reply, failure) -> {
              if (failure == null) {
                result.complete(reply);
                return;
              }
              if (!worthAnother(Futures.typed(failure))) {
                result.completeExceptionally(failure);
                return;
              }
              preferred.compareAndSet(index, (index + 1) % controlHosts.size());
              attempt(method, request, timeout, triesLeft - 1)
                  .whenComplete(
                      (later, laterFailure) -> {
                        if (laterFailure == null) {
                          result.complete(later);
                        } else {
                          result.completeExceptionally(laterFailure);
                        }
                      });
            });
    return result;
  }

  private static boolean worthAnother(AlderyardException failure) {
    return switch (failure.code()) {
      case NOT_LEADER, NO_QUORUM, CONNECTION_LOST, DEADLINE_EXCEEDED, DRAINING, PEER_REJECTED ->
          true;
      default -> false;
    };
  }
}
