package org.alderyard.protocol.control;

import com.google.protobuf.MessageLite;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.NotLeaderException;
import org.alderyard.common.error.Outcome;
import org.alderyard.protocol.wire.Method;
import org.alderyard.protocol.wire.PeerLinks;

/**
 * Sends requests to the leading control host and searches for the leader after a change of
 * leadership.
 *
 * <p>Every request must be idempotent: after a lost reply it is sent to another host. A host that
 * does not lead names the leader, which may be missing in the list of control hosts, as that of a
 * host that has just started holds only a few of them.
 */
public final class ControlClient {
  private static final int RETRY_ROUNDS = 30;
  private static final Duration ROUND_DELAY = Duration.ofMillis(100);

  private final PeerLinks links;
  private final Supplier<List<InetSocketAddress>> controlHosts;
  private final WorkerPool workers;
  private final AtomicInteger preferredIndex = new AtomicInteger();
  private final AtomicReference<InetSocketAddress> namedLeader = new AtomicReference<>();

  /** Creates a client for a fixed list of control hosts, by their inner addresses. */
  public ControlClient(PeerLinks links, List<InetSocketAddress> controlHosts, WorkerPool workers) {
    this(links, fixedList(controlHosts), workers);
  }

  /**
   * Creates a client that obtains the inner addresses of the control hosts from the supplier for
   * each call.
   */
  public ControlClient(
      PeerLinks links, Supplier<List<InetSocketAddress>> controlHosts, WorkerPool workers) {
    this.links = links;
    this.controlHosts = controlHosts;
    this.workers = workers;
  }

  private static Supplier<List<InetSocketAddress>> fixedList(List<InetSocketAddress> addresses) {
    List<InetSocketAddress> copy = List.copyOf(addresses);
    return () -> copy;
  }

  /** Returns the number of known control hosts. */
  public int hostCount() {
    return controlHosts.get().size();
  }

  /**
   * Sends a request to one control host.
   *
   * @param index the index of the host in the list of control hosts, modulo the length of the list
   */
  public <Q extends MessageLite, R extends MessageLite> CompletableFuture<R> callHost(
      int index, Method<Q, R> method, Q request, Duration timeout) {
    return links
        .linkTo(address(index))
        .call(method, request, timeout)
        .whenComplete((reply, failure) -> recordNamedLeader(failure));
  }

  private void recordNamedLeader(Throwable failure) {
    if (failure != null && Futures.unwrap(failure) instanceof NotLeaderException notLeader) {
      notLeader.leader().ifPresent(namedLeader::set);
    }
  }

  /** Asks a leader by its place in the list from now on, once the list has it. */
  private void preferIfListed(InetSocketAddress leader) {
    int index = controlHosts.get().indexOf(leader);
    if (index >= 0) {
      preferredIndex.set(index);
      namedLeader.compareAndSet(leader, null);
    }
  }

  /** Returns the control host that is asked first: the leader, if one has served a request. */
  public Optional<InetSocketAddress> preferredHost() {
    InetSocketAddress leader = namedLeader.get();
    if (leader != null) {
      return Optional.of(leader);
    }
    return hostCount() == 0 ? Optional.empty() : Optional.of(address(preferredIndex.get()));
  }

  private InetSocketAddress address(int index) {
    List<InetSocketAddress> addresses = controlHosts.get();
    return addresses.get(Math.floorMod(index, addresses.size()));
  }

  /** Sends an idempotent request to one control host after another until one of them serves it. */
  public <Q extends MessageLite, R extends MessageLite> CompletableFuture<R> callIdempotent(
      Method<Q, R> method, Q request, Duration timeout) {
    return new RetryingCall<>(method, request, timeout, hostCount(), Duration.ZERO).run();
  }

  /**
   * Sends an idempotent request to all control hosts in rounds, for about three seconds. The hosts
   * need about that time to elect another leader.
   */
  public <Q extends MessageLite, R extends MessageLite> CompletableFuture<R> callWithRetries(
      Method<Q, R> method, Q request, Duration timeout) {
    int attempts = hostCount() * RETRY_ROUNDS;
    return new RetryingCall<>(method, request, timeout, attempts, ROUND_DELAY).run();
  }

  /**
   * Sends an idempotent request to all control hosts in rounds until the given total time has
   * passed.
   *
   * <p>After that time the caller has turned to another host. Attempts that continue without a
   * recipient of the reply would take capacity from the requests that are still wanted: with a slow
   * leader, such attempts alone amounted to several hundred requests per second.
   */
  public <Q extends MessageLite, R extends MessageLite> CompletableFuture<R> callWithTotalTimeout(
      Method<Q, R> method, Q request, Duration timeout, Duration total) {
    RetryingCall<Q, R> retryingCall =
        new RetryingCall<>(method, request, timeout, hostCount() * RETRY_ROUNDS, ROUND_DELAY);
    var timer = workers.schedule(total, retryingCall::stop);
    return retryingCall.run().whenComplete((reply, failure) -> timer.cancel(false));
  }

  /**
   * Returns whether another host may serve a request that failed with this code. Every host refuses
   * a request that is itself at fault; other failures concern the host that returned them. An
   * overloaded leader is not retried, since other hosts would send the request to the same leader.
   */
  private static boolean mayRetryElsewhere(ErrorCode code) {
    return switch (code) {
      // Hosts of an earlier build return this code for a method that they do not serve.
      case NOT_FOUND -> true;
      case OVERLOADED -> false;
      default -> !code.isRequestFault();
    };
  }

  /** A request that is sent to one host after another until one of them serves it. */
  private final class RetryingCall<Q extends MessageLite, R extends MessageLite> {
    private final Method<Q, R> method;
    private final Q request;
    private final Duration timeout;
    private final Duration roundDelay;
    private final CompletableFuture<R> result = new CompletableFuture<>();
    private final TriedHosts triedHosts = new TriedHosts();
    private int attemptsLeft;
    // Whether any attempt may have been served without a reply.
    private boolean mayHaveRun;
    private volatile boolean stopped;
    // Whether the leader that another host named has been tried.
    private boolean namedLeaderTried;

    RetryingCall(
        Method<Q, R> method, Q request, Duration timeout, int attempts, Duration roundDelay) {
      this.method = method;
      this.request = request;
      this.timeout = timeout;
      this.roundDelay = roundDelay;
      this.attemptsLeft = attempts;
    }

    CompletableFuture<R> run() {
      tryNextHost();
      return result;
    }

    /** Makes the current attempt the last one. */
    void stop() {
      stopped = true;
    }

    private void tryNextHost() {
      InetSocketAddress leader = namedLeader.get();
      if (leader != null && !namedLeaderTried) {
        namedLeaderTried = true;
        tryNamedLeader(leader);
        return;
      }
      attemptsLeft--;
      int index = preferredIndex.get();
      InetSocketAddress host = address(index);
      links
          .linkTo(host)
          .call(method, request, timeout)
          .whenComplete(
              (reply, failure) -> {
                if (failure == null) {
                  result.complete(reply);
                } else {
                  AlderyardException error = Futures.toAlderyardException(failure);
                  triedHosts.add(host, error);
                  recordNamedLeader(failure);
                  onFailure(index, error);
                }
              });
    }

    /** Sends the request to a host that another host named; a failure costs no attempt. */
    private void tryNamedLeader(InetSocketAddress leader) {
      links
          .linkTo(leader)
          .call(method, request, timeout)
          .whenComplete(
              (reply, failure) -> {
                if (failure == null) {
                  preferIfListed(leader);
                  result.complete(reply);
                  return;
                }
                namedLeader.compareAndSet(leader, null);
                AlderyardException error = Futures.toAlderyardException(failure);
                triedHosts.add(leader, error);
                mayHaveRun |= error.outcome() != Outcome.NOT_RUN;
                if (!mayRetryElsewhere(error.code())) {
                  completeRefused(error);
                } else if (attemptsLeft == 0 || stopped) {
                  failWithoutHost(error);
                } else {
                  tryNextHost();
                }
              });
    }

    private void onFailure(int index, AlderyardException failure) {
      mayHaveRun |= failure.outcome() != Outcome.NOT_RUN;
      if (!mayRetryElsewhere(failure.code())) {
        completeRefused(failure);
        return;
      }
      preferredIndex.compareAndSet(index, Math.floorMod(index + 1, hostCount()));
      boolean leaderNamed = namedLeader.get() != null && !namedLeaderTried;
      if (stopped || attemptsLeft == 0 && !leaderNamed) {
        failWithoutHost(failure);
        return;
      }
      if (leaderNamed) {
        tryNextHost();
        return;
      }
      boolean roundOver = attemptsLeft % hostCount() == 0;
      if (roundOver && !roundDelay.isZero()) {
        workers.schedule(roundDelay, this::tryNextHost);
      } else {
        tryNextHost();
      }
    }

    private void failWithoutHost(AlderyardException lastFailure) {
      completeFailed(
          ErrorCode.NO_QUORUM, mayHaveRun ? Outcome.OUTCOME_UNKNOWN : Outcome.NOT_RUN, lastFailure);
    }

    /**
     * Completes the request after a refusal. A refusal by one host does not exclude that another
     * host has executed an earlier attempt.
     */
    private void completeRefused(AlderyardException refusal) {
      if (mayHaveRun) {
        completeFailed(ErrorCode.NO_QUORUM, Outcome.OUTCOME_UNKNOWN, refusal);
      } else {
        completeFailed(refusal.code(), refusal.outcome(), refusal);
      }
    }

    private void completeFailed(ErrorCode code, Outcome outcome, AlderyardException lastFailure) {
      // Concatenated, as a formatter loads the locale data of the Java runtime.
      result.completeExceptionally(
          lastFailure.wrapAs(
              code,
              outcome,
              "no control host served "
                  + method.name()
                  + "; last failure: "
                  + lastFailure.getMessage()
                  + "; tried "
                  + triedHosts));
    }
  }
}
