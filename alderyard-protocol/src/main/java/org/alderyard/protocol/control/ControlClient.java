package org.alderyard.protocol.control;

import com.google.protobuf.MessageLite;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.protocol.wire.Method;
import org.alderyard.protocol.wire.PeerLinks;

/**
 * Sends requests to the control host that leads, and looks for it when it moved.
 *
 * <p>Every request is idempotent: after a lost answer it goes to another host.
 */
public final class ControlClient {
  private static final int PATIENT_ROUNDS = 30;
  private static final Duration ROUND_PAUSE = Duration.ofMillis(100);

  private final PeerLinks links;
  private final Supplier<List<InetSocketAddress>> controlHosts;
  private final WorkerPool workers;
  private final AtomicInteger preferred = new AtomicInteger();

  /** Uses the given links to the given inner addresses. */
  public ControlClient(PeerLinks links, List<InetSocketAddress> controlHosts, WorkerPool workers) {
    this(links, fixed(controlHosts), workers);
  }

  /** Uses the given links to the inner addresses that are known at each call. */
  public ControlClient(
      PeerLinks links, Supplier<List<InetSocketAddress>> controlHosts, WorkerPool workers) {
    this.links = links;
    this.controlHosts = controlHosts;
    this.workers = workers;
  }

  private static Supplier<List<InetSocketAddress>> fixed(List<InetSocketAddress> addresses) {
    List<InetSocketAddress> copy = List.copyOf(addresses);
    return () -> copy;
  }

  /** Returns how many control hosts are known. */
  public int hostCount() {
    return controlHosts.get().size();
  }

  /** Sends a request to one host, by its place in the list. */
  public <Q extends MessageLite, R extends MessageLite> CompletableFuture<R> callHost(
      int place, Method<Q, R> method, Q request, Duration timeout) {
    return links.to(address(place)).call(method, request, timeout);
  }

  private InetSocketAddress address(int place) {
    List<InetSocketAddress> addresses = controlHosts.get();
    return addresses.get(Math.floorMod(place, addresses.size()));
  }

  /** Sends an idempotent request to one host after another until one serves it. */
  public <Q extends MessageLite, R extends MessageLite> CompletableFuture<R> callIdempotent(
      Method<Q, R> method, Q request, Duration timeout) {
    return new Search<>(method, request, timeout, hostCount(), Duration.ZERO).run();
  }

  /**
   * Sends an idempotent request round after round, for about three seconds: as long as hosts need
   * to elect another leader.
   */
  public <Q extends MessageLite, R extends MessageLite> CompletableFuture<R> callPatiently(
      Method<Q, R> method, Q request, Duration timeout) {
    int tries = hostCount() * PATIENT_ROUNDS;
    return new Search<>(method, request, timeout, tries, ROUND_PAUSE).run();
  }

  /**
   * Sends an idempotent request round after round, until the given time is over.
   *
   * <p>Guards against a storm: who waited for the answer has turned to another host by then, and
   * tries that go on for nobody keep the control hosts from those that still wait. While a leader
   * was slow, such tries alone were several hundred requests a second.
   */
  public <Q extends MessageLite, R extends MessageLite> CompletableFuture<R> callWithin(
      Method<Q, R> method, Q request, Duration timeout, Duration total) {
    Search<Q, R> search =
        new Search<>(method, request, timeout, hostCount() * PATIENT_ROUNDS, ROUND_PAUSE);
    workers.schedule(total, search::stop);
    return search.run();
  }

  /**
   * What blames the request, another host would refuse as well; any other failure speaks for the
   * host that was asked. A leader that has too much to do is reached through others just the same.
   */
  private static boolean worthAnother(ErrorCode code) {
    return switch (code) {
      // What a host of an earlier build says of a method that it does not serve.
      case NOT_FOUND -> true;
      case OVERLOADED -> false;
      default -> !code.blamesRequest();
    };
  }

  /** One request on its way from host to host. */
  private final class Search<Q extends MessageLite, R extends MessageLite> {
    private final Method<Q, R> method;
    private final Q request;
    private final Duration timeout;
    private final Duration pause;
    private final CompletableFuture<R> result = new CompletableFuture<>();
    private final TriedHosts tried = new TriedHosts();
    private int triesLeft;
    // Whether any try may have been served without an answer.
    private boolean doubt;
    private volatile boolean stopped;

    Search(Method<Q, R> method, Q request, Duration timeout, int tries, Duration pause) {
      this.method = method;
      this.request = request;
      this.timeout = timeout;
      this.pause = pause;
      this.triesLeft = tries;
    }

    CompletableFuture<R> run() {
      next();
      return result;
    }

    /** Makes the try that is under way the last one. */
    void stop() {
      stopped = true;
    }

    private void next() {
      triesLeft--;
      int place = preferred.get();
      InetSocketAddress host = address(place);
      links
          .to(host)
          .call(method, request, timeout)
          .whenComplete(
              (reply, failure) -> {
                if (failure == null) {
                  result.complete(reply);
                } else {
                  AlderyardException typed = Futures.typed(failure);
                  tried.add(host, typed);
                  failed(place, typed);
                }
              });
    }

    private void failed(int place, AlderyardException failure) {
      doubt |= failure.outcome() != Outcome.NOT_RUN;
      if (!worthAnother(failure.code())) {
        refuse(failure);
        return;
      }
      preferred.compareAndSet(place, Math.floorMod(place + 1, hostCount()));
      if (triesLeft == 0 || stopped) {
        end(ErrorCode.NO_QUORUM, doubt ? Outcome.OUTCOME_UNKNOWN : Outcome.NOT_RUN, failure);
        return;
      }
      boolean roundOver = triesLeft % hostCount() == 0;
      if (roundOver && !pause.isZero()) {
        workers.schedule(pause, this::next);
      } else {
        next();
      }
    }

    /** One host's refusal says nothing of a try before that another host may have carried out. */
    private void refuse(AlderyardException refusal) {
      if (doubt) {
        end(ErrorCode.NO_QUORUM, Outcome.OUTCOME_UNKNOWN, refusal);
      } else {
        end(refusal.code(), refusal.outcome(), refusal);
      }
    }

    private void end(ErrorCode code, Outcome outcome, AlderyardException last) {
      result.completeExceptionally(
          last.restated(
              code,
              outcome,
              "no control host served %s; the last one: %s; tried %s"
                  .formatted(method.name(), last.getMessage(), tried)));
    }
  }
}
