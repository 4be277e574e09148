package org.alderyard.proxy.statement;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.alderyard.backend.BackendStatement;
import org.alderyard.backend.LedgerKey;
import org.alderyard.backend.StatementKind;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.Position;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.PoolState;
import org.alderyard.common.view.View;
import org.alderyard.proxy.freshness.FreshnessMode;
import org.alderyard.proxy.freshness.ReadDemand;
import org.alderyard.proxy.ledger.WriteExecutor;
import org.alderyard.proxy.limit.Flow;
import org.alderyard.proxy.limit.PoolLimits;
import org.alderyard.proxy.monitor.GroupMonitor;
import org.alderyard.proxy.read.ReadAnswer;
import org.alderyard.proxy.read.ReadPath;
import org.alderyard.proxy.session.ReadRequirement;
import org.alderyard.proxy.session.SessionState;
import org.alderyard.proxy.session.SessionTokens;
import org.alderyard.proxy.view.PoolLookup;
import org.alderyard.proxy.view.ViewHolder;
import org.alderyard.proxy.write.WriteRequest;

/** Runs single statements of callers, outside of transactions. */
public final class StatementService {
  private static final long POOL_LIMIT_RETRY_AFTER_MILLIS = 50;

  private final ViewHolder views;
  private final PoolLookup pools;
  private final SessionTokens tokens;
  private final PoolLimits poolLimits;
  private final ReadPath reads;
  private final WriteExecutor writes;
  private final GroupMonitor monitor;

  /** Creates the service. */
  public StatementService(
      ViewHolder views,
      PoolLookup pools,
      SessionTokens tokens,
      PoolLimits poolLimits,
      ReadPath reads,
      WriteExecutor writes,
      GroupMonitor monitor) {
    this.views = views;
    this.pools = pools;
    this.tokens = tokens;
    this.poolLimits = poolLimits;
    this.reads = reads;
    this.writes = writes;
    this.monitor = monitor;
  }

  /** Runs a statement. A failure carries an error code and an outcome. */
  public CompletableFuture<StatementAnswer> run(StatementRequest request) {
    PoolLookup.Found found = pools.require(request.pool());
    View view = found.view();
    PoolState pool = found.pool();
    GroupState group =
        view.group(GroupSelector.groupOf(pool, request.key()))
            .orElseThrow(
                () ->
                    AlderyardException.notRun(
                        ErrorCode.NO_ELIGIBLE_SERVER, "the database group of the key is unknown"));
    monitor.recordUse(group.id());
    SessionState session = tokens.decode(request.sessionToken().orElse(""), request.pool(), view);
    return runWithinPoolLimit(request, view, pool, group, session);
  }

  private CompletableFuture<StatementAnswer> runWithinPoolLimit(
      StatementRequest request, View view, PoolState pool, GroupState group, SessionState session) {
    if (!poolLimits.tryAcquire(pool)) {
      throw AlderyardException.notRun(
          ErrorCode.OVERLOADED,
          "pool " + pool.name() + " already runs " + pool.maxConcurrentStatements() + " statements",
          POOL_LIMIT_RETRY_AFTER_MILLIS);
    }
    CompletableFuture<StatementAnswer> result;
    try {
      result =
          request.kind() == StatementKind.READ
              ? read(request, view, pool, group, session)
              : write(request, view, pool, group, session);
    } catch (RuntimeException failure) {
      result = CompletableFuture.failedFuture(failure);
    }
    return result.whenComplete((answer, failure) -> poolLimits.release(pool.name()));
  }

  private CompletableFuture<StatementAnswer> read(
      StatementRequest request, View view, PoolState pool, GroupState group, SessionState session) {
    BackendStatement statement =
        new BackendStatement(
            request.kind(),
            request.key(),
            request.text(),
            request.parameters(),
            group.term(),
            Optional.empty());
    Flow flow = new Flow(request.pool(), request.caller().value());
    ReadDemand demand = demand(request, pool, session.requirement(group.id()));
    return reads
        .run(view, group, flow, demand, statement, request.timeout())
        .thenApply(answer -> answer(request, answer, group, session));
  }

  private static ReadDemand demand(
      StatementRequest request, PoolState pool, ReadRequirement requirement) {
    return switch (request.freshness().mode()) {
      case SESSION -> ReadDemand.session(requirement);
      case BOUNDED -> {
        long millis = request.freshness().maxStalenessMillis().orElse(pool.maxStalenessMillis());
        yield ReadDemand.bounded(TimeUnit.MILLISECONDS.toNanos(millis), requirement);
      }
      case ANY -> ReadDemand.ANY;
      case PRIMARY -> new ReadDemand(FreshnessMode.PRIMARY, 0, requirement);
    };
  }

  private CompletableFuture<StatementAnswer> write(
      StatementRequest request, View view, PoolState pool, GroupState group, SessionState session) {
    if (view.keys().isEmpty()) {
      // The write is refused before it is sent, so its outcome is NOT_RUN. If the missing keys were
      // detected afterwards, a write that ran would be reported as refused.
      throw AlderyardException.notRun(
          ErrorCode.NO_ELIGIBLE_SERVER, "no change ticket with token keys is in effect yet");
    }
    WriteRequest write =
        new WriteRequest(
            pool,
            group.id(),
            request.key(),
            request.text(),
            request.parameters(),
            request.requestId().map(id -> new LedgerKey(request.caller(), id)),
            request.requestedAtMillis(),
            request.timeout());
    return writes
        .run(write)
        .thenApply(
            answer ->
                new StatementAnswer(
                    answer.result(),
                    group.id(),
                    answer.server(),
                    answer.position(),
                    false,
                    OptionalLong.empty(),
                    tokenAfter(session, group, answer.position())));
  }

  private StatementAnswer answer(
      StatementRequest request, ReadAnswer read, GroupState group, SessionState session) {
    Position position = read.answer().position();
    FreshnessMode mode = request.freshness().mode();
    // Only these modes guarantee monotonic reads. Updating the session in the other modes would
    // route the next read to the primary.
    boolean updatesSession = mode == FreshnessMode.SESSION || mode == FreshnessMode.PRIMARY;
    return new StatementAnswer(
        read.answer().result(),
        group.id(),
        read.server().id(),
        position,
        read.replica(),
        read.ageMillis(),
        updatesSession
            ? tokenAfter(session, group, position)
            : tokens.encode(session, views.current()));
  }

  /**
   * Returns the session token with the observed position. Uses the newest view, because the view
   * may have changed since the request arrived and writes run with the newest view.
   */
  private String tokenAfter(SessionState session, GroupState group, Position seen) {
    View currentView = views.current();
    GroupState newest = currentView.group(group.id()).orElse(group);
    return tokens.encode(session.observe(newest, seen), currentView);
  }
}
