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
import org.alderyard.proxy.statement.GroupOfKey;
import org.alderyard.proxy.statement.StatementRequest;
import org.alderyard.proxy.transaction.TransactionId;
import org.alderyard.proxy.transaction.TransactionService;
import org.alderyard.proxy.view.KnownPools;
import org.alderyard.proxy.view.ViewHolder;
import org.alderyard.proxy.write.WriteAnswer;

/** The requests of transactions: served here, or passed on once to the host that holds them. */
public final class TransactionApi {
  private static final int MAX_HOPS = 1;

  private final HostId host;
  private final ViewHolder views;
  private final KnownPools pools;
  private final TransactionService transactions;
  private final SessionTokens tokens;
  private final HolderLink link;
  private final RequestsInFlight inFlight;

  /** Creates the interface. */
  public TransactionApi(
      HostId host,
      ViewHolder views,
      KnownPools pools,
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

  /** The way to the host that holds a transaction. */
  @FunctionalInterface
  public interface HolderLink {

    /** Sends the request; a failure is typed. */
    CompletableFuture<ForwardReply> send(
        HostState holder, ForwardRequest request, Duration timeout);
  }

  /** Opens a transaction on the group of the body's key. */
  CompletableFuture<Reply> begin(PoolName poolName, byte[] body, CallerId caller) {
    JsonNode json = Json.parseObject(body);
    PoolState pool = pool(poolName);
    GroupId group = GroupOfKey.of(pool, StatementJson.key(json));
    return transactions
        .begin(caller, pool, group, StatementJson.deadline(json))
        .thenApply(
            id -> {
              // An open transaction is in flight until its end: a shutdown waits for it.
              inFlight.runToTheEnd(() -> transactions.ended(id));
              return new Reply(Json.object().put("transactionId", id.toString()), Optional.empty());
            });
  }

  private PoolState pool(PoolName name) {
    return pools.require(views.current(), name);
  }

  /** Serves a request of an open transaction, or passes it on to its holder. */
  CompletableFuture<Reply> request(ForwardRequest request) {
    TransactionId id = TransactionId.parse(request.getTransactionId());
    if (transactions.holds(id)) {
      return local(id, request);
    }
    if (request.getHops() >= MAX_HOPS) {
      throw holderGone(id, request.getAction());
    }
    Optional<HostState> holder =
        Optional.ofNullable(views.current().hosts().get(id.holder()))
            .filter(state -> state.incarnation() == id.incarnation() && !state.id().equals(host));
    return forward(holder.orElseThrow(() -> holderGone(id, request.getAction())), request);
  }

  /**
   * Returns the error of a transaction whose holder died.
   *
   * <p>NOT_RUN holds for a statement and a rollback: the server drops what the connections of a
   * dead process held, and this request was given to nobody. A commit may be one that is sent
   * again, and the dead holder may have passed the first one on.
   */
  private static AlderyardException holderGone(TransactionId id, Action action) {
    String text = "host " + id.holder() + " that held transaction " + id + " is gone";
    return action == Action.COMMIT
        ? AlderyardException.unknown(ErrorCode.TRANSACTION_LOST, text, null)
        : AlderyardException.notRun(ErrorCode.TRANSACTION_LOST, text);
  }

  private CompletableFuture<Reply> forward(HostState holder, ForwardRequest request) {
    ForwardRequest hop = request.toBuilder().setHops(request.getHops() + 1).build();
    return link.send(holder, hop, deadline(request))
        .handle(
            (reply, failure) -> {
              if (failure != null) {
                throw ForwardFailures.told(request.getAction(), Futures.typed(failure));
              }
              return new Reply(
                  Json.parseObject(reply.getBody().toByteArray()),
                  Optional.of(reply.getSessionToken()).filter(token -> !token.isEmpty()));
            });
  }

  /** Serves a request that another proxy passed on. */
  public CompletableFuture<ForwardReply> serve(ForwardRequest request) {
    return request(request)
        .thenApply(
            reply ->
                ForwardReply.newBuilder()
                    .setBody(ByteString.copyFrom(Json.bytes(reply.body())))
                    .setSessionToken(reply.sessionToken().orElse(""))
                    .build());
  }

  private CompletableFuture<Reply> local(TransactionId id, ForwardRequest request) {
    return switch (request.getAction()) {
      case STATEMENT -> statement(id, request);
      case COMMIT -> commit(id, request);
      case ROLLBACK ->
          transactions
              .rollback(id, new CallerId(request.getCallerId()), deadline(request))
              .thenApply(
                  done -> new Reply(Json.object().put("rolledBack", true), Optional.empty()));
      case UNRECOGNIZED ->
          throw AlderyardException.notRun(
              ErrorCode.BAD_REQUEST, "action " + request.getActionValue());
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
    requireGroup(id, GroupOfKey.of(pool(pool), statement.key()));
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

  /** A transaction lives in one database: a key of another group can't be part of it. */
  private void requireGroup(TransactionId id, GroupId group) {
    Optional<GroupId> pinned = transactions.group(id);
    if (pinned.isPresent() && !pinned.get().equals(group)) {
      // NOT_RUN holds: the statement was given to no connection.
      throw AlderyardException.notRun(
          ErrorCode.BAD_REQUEST,
          "the key is of group " + group + "; accepted: keys of group " + pinned.get());
    }
  }

  private CompletableFuture<Reply> commit(TransactionId id, ForwardRequest request) {
    PoolName pool = new PoolName(request.getPool());
    View view = views.current();
    // Before the commit is sent: a bad token must not turn a done commit into a refusal.
    SessionState session = tokens.read(request.getSessionToken(), pool, view);
    tokens.write(session, view);
    return transactions
        .commit(id, new CallerId(request.getCallerId()), deadline(request))
        .thenApply(answer -> committed(answer, session));
  }

  private Reply committed(WriteAnswer answer, SessionState session) {
    View now = views.current();
    SessionState seen =
        now.server(answer.server())
            .flatMap(server -> now.group(server.group()))
            .map(state -> session.observe(state, answer.position()))
            .orElse(session);
    ObjectNode body = Json.object().put("committed", true);
    body.set("result", answer.result());
    body.putObject("servedBy")
        .put("host", host.value())
        .put("server", answer.server().value())
        .put("term", answer.position().term())
        .put("position", answer.position().index());
    return new Reply(body, Optional.of(tokens.write(seen, now)));
  }

  private static Duration deadline(ForwardRequest request) {
    byte[] body = request.getBody().toByteArray();
    return StatementJson.deadline(body.length == 0 ? Json.object() : Json.parseObject(body));
  }

  /**
   * The answer to a request of a transaction.
   *
   * @param body the JSON body
   * @param sessionToken the token for the caller's next request, if it changed
   */
  record Reply(JsonNode body, Optional<String> sessionToken) {}
}
