package org.alderyard.control.log;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.HostId;
import org.alderyard.control.raft.MembershipChange;
import org.alderyard.control.raft.MembershipChange.Verdict;
import org.alderyard.control.raft.RaftCore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The control log over several hosts, each with its own data folder.
 *
 * <pre>{@code
 * ReplicatedLog log =
 *     ReplicatedLog.builder()
 *         .clusterId("c1")
 *         .host(host, innerAddress)
 *         .members(innerAddressesOfAllControlHosts)
 *         .dataFolder(folder)
 *         .machine(state)
 *         .network(links, dispatcher)
 *         .callbacks(workers)
 *         .random(new SecureRandom())
 *         .start();
 * }</pre>
 *
 * <p>At the very first start all hosts of the list must be up once; from then on a majority is
 * enough. A host that returns with an empty folder is taken in by the leader as a new replica.
 */
public final class ReplicatedLog implements ControlLog {
  private static final Logger log = LoggerFactory.getLogger(ReplicatedLog.class);
  private static final int THREADS = 2;
  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration HAND_OVER_POLL = Duration.ofMillis(5);

  private final ReplicatedLogOptions options;
  private final LogListener listener;
  private final WorkerPool threads = new WorkerPool("log", THREADS);
  private final SerialLoop loop;
  private final PendingProposals pending;
  private final ReplicaHost replica;
  private final LeaderWaits leaderWaits = new LeaderWaits();
  // On the loop only.
  private long nextReadId;
  private boolean closed;
  // Written on the loop, read anywhere.
  private volatile LogStatus status = LogStatus.NONE;
  private volatile AlderyardException failure;

  ReplicatedLog(ReplicatedLogBuilder builder) {
    options = builder.options;
    listener = builder.listener;
    pending = new PendingProposals(builder.callbacks);
    loop = new SerialLoop(threads, this::flush, this::fail);
    try {
      replica = new ReplicaHost(builder, loop, threads, pending);
    } catch (RuntimeException unusable) {
      threads.close();
      throw unusable;
    }
    threads.scheduleRepeatedly(options.tick(), this::tick);
  }

  /** Returns a builder. */
  public static ReplicatedLogBuilder builder() {
    return new ReplicatedLogBuilder();
  }

  /** The time is taken before the step waits its turn, so that a slow sync is no silence. */
  private void tick() {
    long nowMillis = replica.nowMillis();
    loop.submit(() -> replica.tick(nowMillis));
  }

  private void flush() {
    if (closed) {
      return;
    }
    replica.perform();
    LogStatus before = status;
    LogStatus now = replica.status();
    status = now;
    leaderWaits.update(now.leaderKnown());
    if (now.endsLeadershipOf(before)) {
      pending.fail(lostLeadership(), notLeader());
    }
    if (before.leading() != now.leading() || before.term() != now.term()) {
      log.info(
          "event=term-changed term={} leading={} leader={}",
          now.term(),
          now.leading(),
          now.leader().map(HostId::value).orElse("none"));
    }
    if (before.leading() && now.endsLeadershipOf(before)) {
      listener.onLeadership(before.term(), false);
    }
    if (now.leading() && !(before.leading() && before.term() == now.term())) {
      listener.onLeadership(now.term(), true);
    }
  }

  /** Guards against going on after the disk or the state machine failed: nothing is retried. */
  private void fail(RuntimeException cause) {
    if (closed) {
      return;
    }
    AlderyardException typed = Futures.typed(cause);
    log.error("event=log-stopped reason=\"{}\"", typed.getMessage(), cause);
    failure = typed;
    loop.stop();
    closed = true;
    status = LogStatus.NONE;
    pending.fail(
        AlderyardException.unknown(typed.code(), "the log stopped: " + typed.getMessage(), typed),
        stopped());
    replica.close();
    listener.onFailure(typed);
  }

  @Override
  public CompletableFuture<ByteString> propose(ByteString command) {
    if (command.size() > options.maxCommandBytes()) {
      return CompletableFuture.failedFuture(
          AlderyardException.notRun(
              ErrorCode.REQUEST_TOO_LARGE,
              "the command has "
                  + command.size()
                  + " bytes; accepted are up to "
                  + options.maxCommandBytes()));
    }
    return onLoop(answer -> propose(command, answer));
  }

  private void propose(ByteString command, CompletableFuture<ByteString> answer) {
    if (pending.size() >= options.maxPending()) {
      answer.completeExceptionally(
          AlderyardException.notRun(
              ErrorCode.OVERLOADED,
              pending.size() + " commands wait for the log already",
              options.raft().heartbeatMillis()));
      return;
    }
    OptionalLong index =
        replica.core().map(core -> core.propose(command)).orElse(OptionalLong.empty());
    if (index.isEmpty()) {
      answer.completeExceptionally(notLeader());
      return;
    }
    pending.proposed(index.getAsLong(), answer);
  }

  @Override
  public CompletableFuture<Void> readBarrier() {
    return onLoop(
        answer -> {
          nextReadId++;
          long readId = nextReadId;
          if (replica.core().filter(core -> core.read(readId)).isEmpty()) {
            answer.completeExceptionally(notLeader());
            return;
          }
          pending.asked(readId, answer);
        });
  }

  /** Changes the members by one step; the future tells whether this host took the change. */
  public CompletableFuture<Verdict> change(MembershipChange change) {
    return onLoop(
        answer -> {
          Verdict verdict =
              replica.core().map(core -> core.change(change)).orElse(Verdict.NOT_LEADER);
          log.info("event=membership-change change=\"{}\" verdict={}", change, verdict);
          answer.complete(verdict);
        });
  }

  /** Hands the leadership to the voter that holds most of the log; tells whether that was begun. */
  public CompletableFuture<Boolean> handOver() {
    return onLoop(
        answer -> answer.complete(replica.core().map(ReplicatedLog::handOver).orElse(false)));
  }

  private static boolean handOver(RaftCore core) {
    Optional<Long> target =
        core.membership().voters().stream().max(Comparator.comparing(core::matchIndex));
    return target.isPresent() && core.handOver(target.get());
  }

  private <T> CompletableFuture<T> onLoop(Consumer<CompletableFuture<T>> step) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    if (!loop.submit(() -> runUnlessClosed(step, answer))) {
      answer.completeExceptionally(stopped());
    }
    return answer;
  }

  private <T> void runUnlessClosed(
      Consumer<CompletableFuture<T>> step, CompletableFuture<T> answer) {
    if (closed) {
      answer.completeExceptionally(stopped());
      return;
    }
    step.accept(answer);
  }

  private AlderyardException stopped() {
    AlderyardException cause = failure;
    return cause == null
        ? AlderyardException.notRun(ErrorCode.DRAINING, "the log of this host is closed")
        : AlderyardException.notRun(
            cause.code(), "the log of this host stopped: " + cause.getMessage());
  }

  private AlderyardException notLeader() {
    String where = status.leader().map(host -> "; host " + host + " leads").orElse("");
    return AlderyardException.notRun(
        ErrorCode.NOT_LEADER,
        "this host does not lead the log" + where,
        options.raft().electionTimeoutMinMillis());
  }

  private static AlderyardException lostLeadership() {
    return new AlderyardException(
        ErrorCode.NOT_LEADER,
        Outcome.OUTCOME_UNKNOWN,
        "this host lost the leadership before the command was committed; another leader may commit"
            + " it");
  }

  @Override
  public boolean leading() {
    return status.leading();
  }

  @Override
  public Optional<HostId> leader() {
    return status.leader();
  }

  @Override
  public CompletableFuture<Void> leaderKnown(Duration limit) {
    return leaderWaits.await(limit);
  }

  @Override
  public long term() {
    return status.term();
  }

  @Override
  public List<InetSocketAddress> memberAddresses() {
    return status.membership().members().stream()
        .map(member -> ReplicaHost.address(member.getAddress()))
        .toList();
  }

  /** Returns what this host knows of the log. */
  public LogStatus status() {
    return status;
  }

  /** Hands the leadership over if need be, then stops. */
  @Override
  public void close() {
    if (status.elected()) {
      awaitHandOver();
    }
    stop();
  }

  private void awaitHandOver() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    var poll =
        threads.scheduleRepeatedly(
            HAND_OVER_POLL,
            () -> {
              if (!status.elected()) {
                done.complete(null);
              }
            });
    handOver();
    done.completeOnTimeout(null, options.raft().electionTimeoutMaxMillis(), TimeUnit.MILLISECONDS)
        .join();
    poll.cancel(false);
  }

  /** Stops at once without handing over, as a crash would. */
  public void stop() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    boolean running = loop.submit(() -> shutDown(done));
    loop.stop();
    if (running) {
      done.completeOnTimeout(null, CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS).join();
    }
    threads.close();
  }

  private void shutDown(CompletableFuture<Void> done) {
    closed = true;
    status = LogStatus.NONE;
    pending.fail(lostLeadership(), stopped());
    replica.close();
    done.complete(null);
  }
}
