package org.alderyard.proxy.write;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.alderyard.backend.BackendAnswer;
import org.alderyard.backend.BackendStatement;
import org.alderyard.backend.ServerAdmin;
import org.alderyard.backend.StatementKind;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.View;
import org.alderyard.common.view.WriteAcknowledgement;
import org.alderyard.proxy.pool.ServerPools;
import org.alderyard.proxy.view.ViewHolder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs a write on the primary of its group and waits for its acknowledgement. */
public final class WritePath {
  private static final Logger log = LoggerFactory.getLogger(WritePath.class);
  private static final long RETRY_AFTER_MILLIS = 200;

  private final ViewHolder views;
  private final ServerPools pools;
  private final BooleanSupplier viewLeaseValid;
  private final MajorityWait majority;

  /** Creates the path. */
  public WritePath(
      ViewHolder views, ServerPools pools, ServerAdmin admin, BooleanSupplier viewLeaseValid) {
    this.views = views;
    this.pools = pools;
    this.viewLeaseValid = viewLeaseValid;
    majority = new MajorityWait(admin);
  }

  /** Runs a write; a failure is a typed error that tells the outcome. */
  public CompletableFuture<WriteAnswer> run(WriteRequest request) {
    if (!viewLeaseValid.getAsBoolean()) {
      throw AlderyardException.notRun(
          ErrorCode.VIEW_LEASE_EXPIRED, "this proxy has lost touch with the control hosts");
    }
    View view = views.current();
    GroupState group = view.group(request.group()).orElseThrow(() -> noPrimary(request));
    ServerState primary =
        group
            .primary()
            .flatMap(view::server)
            .filter(server -> server.status() == ServerStatus.ACTIVE)
            .orElseThrow(() -> noPrimary(request));
    log.info(
        "event=route kind=write pool={} group={} server={} term={} reason=PRIMARY_OF_TERM",
        request.pool().name(),
        group.id(),
        primary.id(),
        group.term());
    List<ServerState> servers = view.serversOf(group.id());
    return send(primary, statement(request, group), request)
        .thenCompose(
            answer ->
                acknowledged(request, answer, primary, servers)
                    .thenApply(
                        done -> new WriteAnswer(answer.result(), primary.id(), answer.position())));
  }

  private CompletableFuture<BackendAnswer> send(
      ServerState primary, BackendStatement statement, WriteRequest request) {
    return pools
        .take(primary, request.timeout())
        .thenCompose(
            connection ->
                connection
                    .run(statement, request.timeout())
                    .whenComplete((answer, failure) -> pools.release(primary, connection)));
  }

  private CompletableFuture<Void> acknowledged(
      WriteRequest request, BackendAnswer answer, ServerState primary, List<ServerState> servers) {
    return request.pool().writeAcknowledgement() == WriteAcknowledgement.PRIMARY_ONLY
        ? CompletableFuture.completedFuture(null)
        : majority.await(answer.position(), primary, servers, request.timeout());
  }

  private static BackendStatement statement(WriteRequest request, GroupState group) {
    return new BackendStatement(
        StatementKind.WRITE,
        request.key(),
        request.text(),
        request.parameters(),
        group.term(),
        request.ledgerKey());
  }

  private static AlderyardException noPrimary(WriteRequest request) {
    return AlderyardException.notRun(
        ErrorCode.NO_PRIMARY,
        "group " + request.group() + " has no primary at the moment",
        RETRY_AFTER_MILLIS);
  }
}
