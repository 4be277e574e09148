package org.alderyard.proxy.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.BackendStatement;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.http.Json;
import org.alderyard.common.id.CallerId;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.PoolState;
import org.alderyard.common.view.View;
import org.alderyard.protocol.generated.forward.Action;
import org.alderyard.protocol.generated.forward.ForwardReply;
import org.alderyard.protocol.generated.forward.ForwardRequest;
import org.alderyard.proxy.drain.RequestsInFlight;
import org.alderyard.proxy.session.SessionState;
import org.alderyard.proxy.session.SessionTokens;
import org.alderyard.proxy.statement.GroupSelector;
import org.alderyard.proxy.statement.StatementRequest;
import org.alderyard.proxy.transaction.TransactionId;
import org.alderyard.proxy.transaction.TransactionService;
import org.alderyard.proxy.view.PoolLookup;
import org.alderyard.proxy.view.ViewHolder;
import org.alderyard.proxy.write.WriteAnswer;

/**
 * Handles the requests of transactions: runs them on this host, or forwards them at most once to
 * the host that holds the transaction.
 */
public final class TransactionApi {
  private static final int MAX_HOPS = 1;

  private final HostId host;
  private final ViewHolder views;
  private final PoolLookup pools;
  private final TransactionService transactions;
  private final SessionTokens tokens;
  private final HolderLink link;
  private final RequestsInFlight inFlight;

  /** Creates the interface. Open transactions are counted in {@code inFlight}. */
  public TransactionApi(
      HostId host,
      ViewHolder views,
      PoolLookup pools,
      TransactionService transactions,
      SessionTokens tokens,
      HolderLink link,
      RequestsInFlight inFlight) {
    this.host = host;
    this.views = views;
    this.pools = pools;
    this.transactions = transactions;
    this.tokens = tokens;
    this.link = link;
    this.inFlight = inFlight;
  }

  /** Forwards requests to the host that holds a transaction. */
  @FunctionalInterface
  public interface HolderLink {

    /** Sends the request. A failure of the future has an error code and an outcome. */
    CompletableFuture<ForwardReply> send(
        HostState holder, ForwardRequest request, Duration timeout);
  }

  /** Begins a transaction on the group of the key in the body. */
  CompletableFuture<Reply> begin(PoolName poolName, byte[] body, CallerId caller) {
    JsonNode json = Json.parseObject(body);
    PoolState pool = pool(poolName);
    GroupId group = GroupSelector.groupOf(pool, StatementJson.key(json));
    return transactions
        .begin(caller, pool, group, StatementJson.deadline(json))
        .thenApply(
            id -> {
              // An open transaction counts as in flight until it ends, so a shutdown waits for it.
              inFlight.runEvenIfDraining(() -> transactions.whenEnded(id));
              return new Reply(Json.object().put("transactionId", id.toString()), Optional.empty());
            });
  }

  private PoolState pool(PoolName name) {
    return pools.require(name).pool();
  }

  /** Runs a request of an open transaction, or forwards it to the holder of the transaction. */
  CompletableFuture<Reply> request(ForwardRequest request) {
    TransactionId id = TransactionId.parse(request.getTransactionId());
    if (transactions.isHolderOf(id)) {
      return runLocally(id, request);
    }
    if (request.getHops() >= MAX_HOPS) {
      throw holderLostError(id, request.getAction());
    }
    Optional<HostState> holder =
        Optional.ofNullable(views.current().hosts().get(id.holder()))
            .filter(state -> state.incarnation() == id.incarnation() && !state.id().equals(host));
    return forward(holder.orElseThrow(() -> holderLostError(id, request.getAction())), request);
  }

  /**
   * Returns the error for a transaction whose holder has stopped or restarted.
   *
   * <p>The outcome of a statement or a rollback is NOT_RUN: the server discards the transactions of
   * a stopped process, and this request was not forwarded. A commit may be a resend, and the
   * stopped holder may have sent the first attempt to the server.
   */
  private static AlderyardException holderLostError(TransactionId id, Action action) {
    String message =
        "host " + id.holder() + ", which held transaction " + id + ", has stopped or restarted";
    return action == Action.COMMIT
        ? AlderyardException.unknown(ErrorCode.TRANSACTION_LOST, message, null)
        : AlderyardException.notRun(ErrorCode.TRANSACTION_LOST, message);
  }

  private CompletableFuture<Reply> forward(HostState holder, ForwardRequest request) {
    ForwardRequest forwarded = request.toBuilder().setHops(request.getHops() + 1).build();
    return link.send(holder, forwarded, deadline(request))
        .handle(
            (reply, failure) -> {
              if (failure != null) {
                throw ForwardFailures.toCallerError(
                    request.getAction(), Futures.toAlderyardException(failure));
              }
              return new Reply(
                  Json.parseObject(reply.getBody().toByteArray()),
                  Optional.of(reply.getSessionToken()).filter(token -> !token.isEmpty()));
            });
  }

  /** Runs a request that another proxy forwarded. */
  public CompletableFuture<ForwardReply> serve(ForwardRequest request) {
    return request(request)
        .thenApply(
            reply ->
                ForwardReply.newBuilder()
                    .setBody(ByteString.copyFrom(Json.bytes(reply.body())))
                    .setSessionToken(reply.sessionToken().orElse(""))
                    .build());
  }

  private CompletableFuture<Reply> runLocally(TransactionId id, ForwardRequest request) {
    return switch (request.getAction()) {
      case STATEMENT -> statement(id, request);
      case COMMIT -> commit(id, request);
      case ROLLBACK ->
          transactions
              .rollback(id, new CallerId(request.getCallerId()), deadline(request))
              .thenApply(
                  ignored -> new Reply(Json.object().put("rolledBack", true), Optional.empty()));
      case UNRECOGNIZED ->
          throw AlderyardException.notRun(
              ErrorCode.BAD_REQUEST, "unknown action " + request.getActionValue());
    };
  }

  private CompletableFuture<Reply> statement(TransactionId id, ForwardRequest request) {
    PoolName pool = new PoolName(request.getPool());
    StatementRequest statement =
        StatementJson.request(
            pool,
            Json.parseObject(request.getBody().toByteArray()),
            Optional.of(request.getCallerId()),
            Optional.empty());
    requireGroup(id, GroupSelector.groupOf(pool(pool), statement.key()));
    BackendStatement inTransaction =
        new BackendStatement(
            statement.kind(),
            statement.key(),
            statement.text(),
            statement.parameters(),
            0,
            Optional.empty());
    return transactions
        .run(id, statement.caller(), inTransaction, statement.timeout())
        .thenApply(
            answer -> {
              ObjectNode body = Json.object();
              body.set("result", answer.result());
              return new Reply(body.put("transactionId", id.toString()), Optional.empty());
            });
  }

  /** Rejects a key of another group, because a transaction runs in a single database. */
  private void requireGroup(TransactionId id, GroupId group) {
    Optional<GroupId> required = transactions.group(id);
    if (required.isPresent() && !required.get().equals(group)) {
      // The outcome is NOT_RUN because the statement was not sent on any connection.
      throw AlderyardException.notRun(
          ErrorCode.BAD_REQUEST,
          "the key belongs to group " + group + "; accepted: keys of group " + required.get());
    }
  }

  private CompletableFuture<Reply> commit(TransactionId id, ForwardRequest request) {
    PoolName pool = new PoolName(request.getPool());
    View view = views.current();
    // Validates the token before the commit is sent, so an invalid token cannot turn a completed
    // commit into a refusal.
    SessionState session = tokens.decode(request.getSessionToken(), pool, view);
    tokens.encode(session, view);
    return transactions
        .commit(id, new CallerId(request.getCallerId()), deadline(request))
        .thenApply(answer -> commitReply(answer, session));
  }

  private Reply commitReply(WriteAnswer answer, SessionState session) {
    View currentView = views.current();
    SessionState updatedSession =
        currentView
            .server(answer.server())
            .flatMap(server -> currentView.group(server.group()))
            .map(state -> session.observe(state, answer.position()))
            .orElse(session);
    ObjectNode body = Json.object().put("committed", true);
    body.set("result", answer.result());
    body.putObject("servedBy")
        .put("host", host.value())
        .put("server", answer.server().value())
        .put("term", answer.position().term())
        .put("position", answer.position().index());
    return new Reply(body, Optional.of(tokens.encode(updatedSession, currentView)));
  }

  private static Duration deadline(ForwardRequest request) {
    byte[] body = request.getBody().toByteArray();
    return StatementJson.deadline(body.length == 0 ? Json.object() : Json.parseObject(body));
  }

  /**
   * The response to a request of a transaction.
   *
   * @param body the JSON body
   * @param sessionToken the token for the caller's next request, or empty if it is unchanged
   */
  record Reply(JsonNode body, Optional<String> sessionToken) {}
}
