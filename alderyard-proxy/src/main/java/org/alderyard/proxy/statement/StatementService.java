package org.alderyard.proxy.statement;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.alderyard.backend.BackendAnswer;
import org.alderyard.backend.BackendStatement;
import org.alderyard.backend.LedgerKey;
import org.alderyard.backend.StatementKind;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.Position;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.PoolState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.View;
import org.alderyard.protocol.generated.session.SessionToken;
import org.alderyard.proxy.monitor.GroupMonitor;
import org.alderyard.proxy.pool.ServerPools;
import org.alderyard.proxy.view.ViewHolder;
import org.alderyard.proxy.write.WritePath;
import org.alderyard.proxy.write.WriteRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs a caller's single statement. */
public final class StatementService {
  private static final Logger log = LoggerFactory.getLogger(StatementService.class);

  private final ViewHolder views;
  private final ServerPools pools;
  private final GroupMonitor monitor;
  private final ReadChoice choice;
  private final WritePath writes;

  /** Creates the service. */
  public StatementService(
      ViewHolder views,
      ServerPools pools,
      GroupMonitor monitor,
      WritePath writes,
      RandomGenerator random) {
    this.views = views;
    this.pools = pools;
    this.monitor = monitor;
    choice = new ReadChoice(random);
    this.writes = writes;
  }

  /** Runs a statement; a failure is a typed error that tells the outcome. */
  public CompletableFuture<StatementAnswer> run(StatementRequest request) {
    View view = views.current();
    PoolState pool =
        view.pool(request.pool())
            .orElseThrow(
                () ->
                    AlderyardException.notRun(
                        ErrorCode.POOL_UNKNOWN, "no pool '" + request.pool() + "' is known"));
    GroupState group =
        view.group(GroupOfKey.of(pool, request.key()))
            .orElseThrow(
                () ->
                    AlderyardException.notRun(
                        ErrorCode.NO_ELIGIBLE_SERVER, "the key's group is not known"));
    SessionToken token =
        PlainTokens.read(request.sessionToken(), request.pool().value(), view.keys());
    return request.kind() == StatementKind.READ
        ? read(request, view, group, token)
        : write(request, view, pool, group, token);
  }

  private CompletableFuture<StatementAnswer> read(
      StatementRequest request, View view, GroupState group, SessionToken token) {
    Position seen = PlainTokens.positionOf(token, group.id());
    if (group.lost(seen)) {
      throw AlderyardException.notRun(
          ErrorCode.SESSION_TAIL_LOST,
          "a failover of group " + group.id() + " lost what this session saw at " + seen);
    }
    ReadTarget target =
        choice
            .choose(view, group, request.freshness(), seen, monitor)
            .orElseThrow(() -> noPrimary(group));
    log.info(
        "event=route kind=read pool={} group={} server={} replica={} reason={} seen={}",
        request.pool(),
        group.id(),
        target.server().id(),
        target.replica(),
        target.reason(),
        seen);
    return onServer(target.server(), backendStatement(request, group), request.timeout())
        .thenApply(answer -> answer(answer, group, target, token, view));
  }

  private CompletableFuture<StatementAnswer> write(
      StatementRequest request, View view, PoolState pool, GroupState group, SessionToken token) {
    WriteRequest write =
        new WriteRequest(
            pool,
            group.id(),
            request.key(),
            request.text(),
            request.parameters(),
            request.requestId().map(id -> new LedgerKey(request.caller(), id)),
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
                    PlainTokens.sign(
                        PlainTokens.with(token, group.id(), answer.position()), view.keys())));
  }

  private CompletableFuture<BackendAnswer> onServer(
      ServerState server, BackendStatement statement, Duration timeout) {
    return pools
        .take(server, timeout)
        .thenCompose(
            connection ->
                connection
                    .run(statement, timeout)
                    .whenComplete((answer, failure) -> pools.release(server, connection)));
  }

  private static BackendStatement backendStatement(StatementRequest request, GroupState group) {
    Optional<LedgerKey> ledgerKey =
        request.requestId().map(id -> new LedgerKey(request.caller(), id));
    return new BackendStatement(
        request.kind(),
        request.key(),
        request.text(),
        request.parameters(),
        group.term(),
        ledgerKey);
  }

  private static StatementAnswer answer(
      BackendAnswer answer, GroupState group, ReadTarget target, SessionToken token, View view) {
    SessionToken next = PlainTokens.with(token, group.id(), answer.position());
    return new StatementAnswer(
        answer.result(),
        group.id(),
        target.server().id(),
        answer.position(),
        target.replica(),
        OptionalLong.empty(),
        PlainTokens.sign(next, view.keys()));
  }

  private static AlderyardException noPrimary(GroupState group) {
    return AlderyardException.notRun(
        ErrorCode.NO_PRIMARY, "group " + group.id() + " has no primary at the moment", 200);
  }
}
