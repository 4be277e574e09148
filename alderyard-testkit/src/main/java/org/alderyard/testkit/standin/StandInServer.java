package org.alderyard.testkit.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;
import io.undertow.util.Headers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.alderyard.backend.BackendAnswer;
import org.alderyard.backend.BackendException;
import org.alderyard.backend.BackendException.Refusal;
import org.alderyard.backend.BackendStatement;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.http.BackendJson;
import org.alderyard.backend.http.BackendPaths;

/** A backend server that speaks the protocol and replicates asynchronously. */
public final class StandInServer implements AutoCloseable {
  /** The path of a replica's fetch. */
  static final String LOG_PATH = "/stand-in/log";

  private static final String SWITCHES_PATH = "/stand-in/switches";
  private static final AttachmentKey<OpenTransaction> TRANSACTION =
      AttachmentKey.create(OpenTransaction.class);
  private static final AttachmentKey<Sent> LAST_SENT = AttachmentKey.create(Sent.class);
  private static final int WORKER_THREADS = 24;
  private static final int MAX_FETCHED = 2_000;
  private static final long QUEUE_MILLIS = 5_000;

  private final StandInOptions options;
  private final StandInSwitches switches = new StandInSwitches();
  private final StandInState state;
  private final Semaphore slots;
  private final AtomicInteger answers = new AtomicInteger();
  private final AtomicInteger statements = new AtomicInteger();
  private final AtomicInteger concurrent = new AtomicInteger();
  private final AtomicInteger mostConcurrent = new AtomicInteger();
  private final Undertow http;
  private final StandInReplication replication;
  private final StandInAnnouncer announcer;

  /** Starts the server. */
  public StandInServer(StandInOptions options) {
    this.options = options;
    state = new StandInState(options, new LogFile(options.dataFile()));
    slots = new Semaphore(options.slots(), true);
    http =
        Undertow.builder()
            .addHttpListener(
                options.address().getPort(), options.address().getAddress().getHostAddress())
            .setIoThreads(1)
            .setWorkerThreads(WORKER_THREADS)
            .setHandler(this::receive)
            .build();
    http.start();
    replication = new StandInReplication(state, switches);
    announcer = new StandInAnnouncer(options, state);
  }

  /** Returns where the server listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) http.getListenerInfo().get(0).getAddress();
  }

  /** Returns the faults that can be set. */
  public StandInSwitches switches() {
    return switches;
  }

  /** Returns the most statements that were at the server at once, in slots or waiting. */
  public int mostConcurrentStatements() {
    return mostConcurrent.get();
  }

  /** Announces that the server leaves. */
  public void leave() {
    announcer.leave();
  }

  @Override
  public void close() {
    announcer.close();
    replication.close();
    http.stop();
  }

  private void receive(HttpServerExchange exchange) {
    boolean control = exchange.getRequestPath().equals(SWITCHES_PATH);
    if (switches.unreachable && !control) {
      closeConnection(exchange);
      return;
    }
    exchange
        .getRequestReceiver()
        .receiveFullBytes((ex, body) -> ex.dispatch(() -> serve(ex, body)));
  }

  private void serve(HttpServerExchange exchange, byte[] body) {
    try {
      JsonNode request = body.length == 0 ? BackendJson.object() : BackendJson.parse(body);
      JsonNode answer = answer(exchange, request);
      send(exchange, 200, answer);
    } catch (BackendException refused) {
      send(exchange, 409, BackendJson.refusal(refused));
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
      closeConnection(exchange);
    }
  }

  private JsonNode answer(HttpServerExchange exchange, JsonNode body) throws InterruptedException {
    return switch (exchange.getRequestPath()) {
      case BackendPaths.STATEMENTS -> inSlot(() -> statement(exchange, body));
      case BackendPaths.BEGIN -> begin(exchange, body.path("term").asLong());
      case BackendPaths.COMMIT -> inSlot(() -> commit(exchange));
      case BackendPaths.ROLLBACK -> {
        exchange.getConnection().removeAttachment(TRANSACTION);
        yield BackendJson.object();
      }
      case BackendPaths.STATE -> BackendJson.report(state.report());
      case BackendPaths.WAIT ->
          BackendJson.report(
              state.await(
                  BackendJson.position(body),
                  body.path("progress").asText().equals("held"),
                  body.path("timeoutMillis").asLong()));
      case BackendPaths.FENCE -> BackendJson.report(state.fence(body.path("term").asLong()));
      case BackendPaths.PROMOTE -> BackendJson.report(state.promote(body.path("term").asLong()));
      case BackendPaths.FOLLOW -> follow(body);
      case LOG_PATH -> fetched(body);
      case SWITCHES_PATH -> {
        switches.set(body);
        if (body.path("leave").asBoolean()) {
          announcer.leave();
        }
        yield BackendJson.object().put("statements", statements.get());
      }
      default -> throw new BackendException(Refusal.BAD_REQUEST, exchange.getRequestPath());
    };
  }

  private JsonNode inSlot(java.util.function.Supplier<JsonNode> work) throws InterruptedException {
    mostConcurrent.accumulateAndGet(concurrent.incrementAndGet(), Math::max);
    try {
      return inFreeSlot(work);
    } finally {
      concurrent.decrementAndGet();
    }
  }

  private JsonNode inFreeSlot(java.util.function.Supplier<JsonNode> work)
      throws InterruptedException {
    if (slots.getQueueLength() >= options.maxQueued()
        || !slots.tryAcquire(QUEUE_MILLIS, TimeUnit.MILLISECONDS)) {
      throw new BackendException(Refusal.BUSY, "all slots are taken");
    }
    try {
      if (switches.serviceMillis > 0) {
        Thread.sleep(switches.serviceMillis);
      }
      return work.get();
    } finally {
      slots.release();
    }
  }

  private JsonNode statement(HttpServerExchange exchange, JsonNode body) {
    statements.incrementAndGet();
    BackendStatement statement = BackendJson.statement(body);
    OpenTransaction open = exchange.getConnection().getAttachment(TRANSACTION);
    if (open != null) {
      return BackendJson.answer(new BackendAnswer(open.run(statement), state.report().applied()));
    }
    return BackendJson.answer(
        statement.kind() == StatementKind.READ
            ? state.read(statement)
            : state.write(List.of(statement), statement.term()));
  }

  private JsonNode begin(HttpServerExchange exchange, long term) {
    state.requirePrimary(term);
    exchange
        .getConnection()
        .putAttachment(TRANSACTION, new OpenTransaction(term, state.copyOfData()));
    return BackendJson.object();
  }

  private JsonNode commit(HttpServerExchange exchange) {
    OpenTransaction open = exchange.getConnection().removeAttachment(TRANSACTION);
    if (open == null) {
      throw new BackendException(Refusal.NO_TRANSACTION, "no transaction is open");
    }
    if (open.writes.isEmpty()) {
      return BackendJson.answer(
          new BackendAnswer(JsonNodeFactory.instance.nullNode(), state.report().applied()));
    }
    return BackendJson.answer(state.write(open.writes, open.term));
  }

  private JsonNode follow(JsonNode body) {
    String[] primary = body.path("primary").asText().split(":");
    InetSocketAddress address = new InetSocketAddress(primary[0], Integer.parseInt(primary[1]));
    return BackendJson.report(state.follow(body.path("term").asLong(), address));
  }

  private JsonNode fetched(JsonNode body) throws InterruptedException {
    int from = body.path("from").asInt();
    state.await(
        new org.alderyard.common.id.Position(0, from + 1L), true, body.path("waitMillis").asLong());
    var answer = BackendJson.report(state.report());
    var entries = answer.putArray("entries");
    state.entriesFrom(from, MAX_FETCHED).forEach(entry -> entries.add(entry.toJson()));
    return answer;
  }

  private void send(HttpServerExchange exchange, int status, JsonNode answer) {
    boolean statement = exchange.getRequestPath().equals(BackendPaths.STATEMENTS);
    int nth = switches.dropEveryNth;
    if (switches.unreachable && !exchange.getRequestPath().equals(SWITCHES_PATH)
        || (statement && nth > 0 && answers.incrementAndGet() % nth == 0)) {
      closeConnection(exchange);
      return;
    }
    if (switches.answerDelayMillis > 0) {
      try {
        Thread.sleep(switches.answerDelayMillis);
      } catch (InterruptedException stopped) {
        Thread.currentThread().interrupt();
      }
    }
    Sent sent = new Sent(number(exchange), BackendJson.bytes(answer));
    Sent before = exchange.getConnection().putAttachment(LAST_SENT, sent);
    if (statement && switches.repeatAnswers && before != null) {
      sent = before;
    }
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(BackendPaths.REQUEST_NUMBER, sent.number);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    if (statement && switches.truncateAnswers) {
      truncate(exchange, sent.body);
      return;
    }
    exchange.getResponseSender().send(ByteBuffer.wrap(sent.body));
  }

  private static String number(HttpServerExchange exchange) {
    return Optional.ofNullable(exchange.getRequestHeaders().getFirst(BackendPaths.REQUEST_NUMBER))
        .orElse("");
  }

  private static void truncate(HttpServerExchange exchange, byte[] body) {
    exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.length);
    exchange.startBlocking();
    try {
      exchange.getOutputStream().write(Arrays.copyOf(body, body.length / 2));
      exchange.getOutputStream().flush();
    } catch (IOException broken) {
      // The caller is gone: the connection is closed below in any case.
    }
    closeConnection(exchange);
  }

  private static void closeConnection(HttpServerExchange exchange) {
    org.xnio.IoUtils.safeClose(exchange.getConnection());
  }

  /** An answer and the number of its request. */
  private record Sent(String number, byte[] body) {}

  /** The writes of a transaction, kept until its commit, over a copy of the data. */
  private static final class OpenTransaction {
    private final long term;
    private final KeyValues data;
    private final List<BackendStatement> writes = new ArrayList<>();

    OpenTransaction(long term, KeyValues data) {
      this.term = term;
      this.data = data;
    }

    JsonNode run(BackendStatement statement) {
      JsonNode result = data.run(statement);
      if (statement.kind() == StatementKind.WRITE) {
        writes.add(statement);
      }
      return Optional.ofNullable(result).orElse(JsonNodeFactory.instance.nullNode());
    }
  }
}
