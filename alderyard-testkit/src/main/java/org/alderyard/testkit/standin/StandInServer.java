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
import org.alderyard.backend.BackendException;
import org.alderyard.backend.BackendException.Refusal;
import org.alderyard.backend.BackendResponse;
import org.alderyard.backend.BackendStatement;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.http.BackendJson;
import org.alderyard.backend.http.BackendPaths;

/** Backend server that implements the protocol and replicates asynchronously. */
public final class StandInServer implements AutoCloseable {
  /** Path from which replicas fetch log entries. */
  static final String LOG_PATH = "/stand-in/log";

  private static final String SWITCHES_PATH = "/stand-in/switches";
  private static final AttachmentKey<OpenTransaction> TRANSACTION =
      AttachmentKey.create(OpenTransaction.class);
  private static final AttachmentKey<SentResponse> LAST_RESPONSE =
      AttachmentKey.create(SentResponse.class);
  private static final int WORKER_THREADS = 24;
  private static final int MAX_FETCHED_ENTRIES = 2_000;
  private static final long MAX_QUEUE_MILLIS = 5_000;

  private final StandInOptions options;
  private final StandInSwitches switches = new StandInSwitches();
  private final StandInState state;
  private final Semaphore slots;
  private final AtomicInteger statementResponses = new AtomicInteger();
  private final AtomicInteger statements = new AtomicInteger();
  private final AtomicInteger concurrent = new AtomicInteger();
  private final AtomicInteger maxConcurrent = new AtomicInteger();
  private final Undertow http;
  private final StandInReplication replication;
  private final StandInAnnouncer announcer;

  /** Binds the listen address and starts replication and announcements. */
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

  /** Returns the address that the server is bound to. */
  public InetSocketAddress address() {
    return (InetSocketAddress) http.getListenerInfo().get(0).getAddress();
  }

  /** Returns the faults of this server, for changes at run time. */
  public StandInSwitches switches() {
    return switches;
  }

  /** Returns the highest number of concurrent statements so far, running or queued. */
  public int mostConcurrentStatements() {
    return maxConcurrent.get();
  }

  /** Announces immediately that the server is leaving. */
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
    } catch (BackendException refusal) {
      send(exchange, 409, BackendJson.refusal(refusal));
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      closeConnection(exchange);
    }
  }

  private JsonNode answer(HttpServerExchange exchange, JsonNode body) throws InterruptedException {
    return switch (exchange.getRequestPath()) {
      case BackendPaths.STATEMENTS -> runCounted(() -> statement(exchange, body));
      case BackendPaths.BEGIN -> begin(exchange, body.path("term").asLong());
      case BackendPaths.COMMIT -> runCounted(() -> commit(exchange));
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
      case LOG_PATH -> fetchEntries(body);
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

  private JsonNode runCounted(java.util.function.Supplier<JsonNode> work)
      throws InterruptedException {
    maxConcurrent.accumulateAndGet(concurrent.incrementAndGet(), Math::max);
    try {
      return runInSlot(work);
    } finally {
      concurrent.decrementAndGet();
    }
  }

  private JsonNode runInSlot(java.util.function.Supplier<JsonNode> work)
      throws InterruptedException {
    if (slots.getQueueLength() >= options.maxQueued()
        || !slots.tryAcquire(MAX_QUEUE_MILLIS, TimeUnit.MILLISECONDS)) {
      throw new BackendException(Refusal.BUSY, "no slot is available");
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
    OpenTransaction transaction = exchange.getConnection().getAttachment(TRANSACTION);
    if (transaction != null) {
      return BackendJson.response(
          new BackendResponse(transaction.run(statement), state.report().applied()));
    }
    return BackendJson.response(
        statement.kind() == StatementKind.READ
            ? state.read(statement)
            : state.write(List.of(statement), statement.term()));
  }

  private JsonNode begin(HttpServerExchange exchange, long term) {
    state.requirePrimary(term);
    exchange
        .getConnection()
        .putAttachment(TRANSACTION, new OpenTransaction(term, state.copyData()));
    return BackendJson.object();
  }

  private JsonNode commit(HttpServerExchange exchange) {
    OpenTransaction transaction = exchange.getConnection().removeAttachment(TRANSACTION);
    if (transaction == null) {
      throw new BackendException(Refusal.NO_TRANSACTION, "no transaction is open");
    }
    if (transaction.writes.isEmpty()) {
      return BackendJson.response(
          new BackendResponse(JsonNodeFactory.instance.nullNode(), state.report().applied()));
    }
    return BackendJson.response(state.write(transaction.writes, transaction.term));
  }

  private JsonNode follow(JsonNode body) {
    String[] primary = body.path("primary").asText().split(":");
    InetSocketAddress address = new InetSocketAddress(primary[0], Integer.parseInt(primary[1]));
    return BackendJson.report(state.follow(body.path("term").asLong(), address));
  }

  private JsonNode fetchEntries(JsonNode body) throws InterruptedException {
    int from = body.path("from").asInt();
    state.await(
        new org.alderyard.common.id.Position(0, from + 1L), true, body.path("waitMillis").asLong());
    var answer = BackendJson.report(state.report());
    var entries = answer.putArray("entries");
    state.entriesFrom(from, MAX_FETCHED_ENTRIES).forEach(entry -> entries.add(entry.toJson()));
    return answer;
  }

  private void send(HttpServerExchange exchange, int status, JsonNode answer) {
    boolean statement = exchange.getRequestPath().equals(BackendPaths.STATEMENTS);
    int nth = switches.dropEveryNth;
    if (switches.unreachable && !exchange.getRequestPath().equals(SWITCHES_PATH)
        || (statement && nth > 0 && statementResponses.incrementAndGet() % nth == 0)) {
      closeConnection(exchange);
      return;
    }
    if (switches.answerDelayMillis > 0) {
      try {
        Thread.sleep(switches.answerDelayMillis);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }
    SentResponse sent = new SentResponse(number(exchange), BackendJson.serialize(answer));
    SentResponse previous = exchange.getConnection().putAttachment(LAST_RESPONSE, sent);
    if (statement && switches.repeatAnswers && previous != null) {
      sent = previous;
    }
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(BackendPaths.REQUEST_NUMBER_HEADER, sent.number);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    if (statement && switches.truncateAnswers) {
      truncate(exchange, sent.body);
      return;
    }
    exchange.getResponseSender().send(ByteBuffer.wrap(sent.body));
  }

  private static String number(HttpServerExchange exchange) {
    return Optional.ofNullable(
            exchange.getRequestHeaders().getFirst(BackendPaths.REQUEST_NUMBER_HEADER))
        .orElse("");
  }

  private static void truncate(HttpServerExchange exchange, byte[] body) {
    exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.length);
    exchange.startBlocking();
    try {
      exchange.getOutputStream().write(Arrays.copyOf(body, body.length / 2));
      exchange.getOutputStream().flush();
    } catch (IOException failure) {
      // The caller has disconnected; the connection is closed below in any case.
    }
    closeConnection(exchange);
  }

  private static void closeConnection(HttpServerExchange exchange) {
    org.xnio.IoUtils.safeClose(exchange.getConnection());
  }

  /** A response with the number of its request. */
  private record SentResponse(String number, byte[] body) {}

  /** An open transaction: buffers writes until commit and runs statements on a copy of the data. */
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
