package org.alderyard.testkit.standin;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.alderyard.backend.BackendResponse;
import org.alderyard.backend.BackendStatement;
import org.alderyard.backend.ServerConnection;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.http.BackendJson;
import org.alderyard.backend.http.HttpConnector;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** A faulty response fails its own request and is never returned for another request. */
class AnswerFaultsTest {
  private static final Duration LONG_TIMEOUT = Duration.ofSeconds(30);

  private WorkerPool workers;
  private XnioWorker ioWorker;
  private StandInServer server;
  private ServerConnection connection;

  @BeforeEach
  void start() throws Exception {
    workers = new WorkerPool("test", 2);
    ioWorker = Xnio.getInstance().createWorker(OptionMap.EMPTY);
    server =
        new StandInServer(
            new StandInOptions(
                new ServerId("s1"),
                1,
                new GroupId("g"),
                new ZoneName("z"),
                new InetSocketAddress("127.0.0.1", 0),
                Optional.empty(),
                5,
                64,
                true,
                Optional.empty(),
                false,
                Optional.empty(),
                List.of(),
                1_500));
    connection =
        new HttpConnector(ioWorker, workers).connect(server.address(), LONG_TIMEOUT).join();
    write("a", "first").join();
  }

  @AfterEach
  void stop() {
    connection.close();
    server.close();
    ioWorker.shutdownNow();
    workers.close();
  }

  /** Guards against truncated results: the connection closes after half of the response. */
  @Test
  void truncatedResponseIsAnError() {
    server.switches().set(BackendJson.object().put("truncateAnswers", true));

    assertUnknownOutcome(failureOf(write("a", "second")), ErrorCode.CONNECTION_LOST);
  }

  /**
   * Guards against mixed-up responses: the response arrives after its request has timed out. If the
   * connection stayed open, the next request would receive the late response as its own.
   */
  @Test
  void lateResponseClosesItsConnection() {
    server.switches().set(BackendJson.object().put("answerDelayMillis", 500));

    assertUnknownOutcome(
        failureOf(run("a", "late", Duration.ofMillis(20))), ErrorCode.DEADLINE_EXCEEDED);
  }

  /** The connection closes without a response after the statement ran. */
  @Test
  void droppedResponseIsUnknown() {
    server.switches().set(BackendJson.object().put("dropEveryNth", 1));

    assertUnknownOutcome(failureOf(write("a", "second")), ErrorCode.CONNECTION_LOST);
  }

  /**
   * Guards against mixed-up responses: a faulty server repeats its previous response. The response
   * is complete and well formed; only its request number shows that it belongs to another request.
   */
  @Test
  void responseOfAnotherRequestIsRejected() {
    server.switches().set(BackendJson.object().put("repeatAnswers", true));

    assertUnknownOutcome(failureOf(write("b", "second")), ErrorCode.BACKEND_PROTOCOL);
  }

  /** A refusal is a complete response, so the connection remains usable. */
  @Test
  void refusalKeepsConnection() {
    AlderyardException failure =
        failureOf(connection.run(statement("nonsense", "a", "x"), LONG_TIMEOUT));

    assertThat(failure.outcome()).isEqualTo(Outcome.FAILED);
    assertThat(connection.usable()).isTrue();
  }

  private void assertUnknownOutcome(AlderyardException failure, ErrorCode code) {
    assertThat(failure.code()).isEqualTo(code);
    assertThat(failure.outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
    assertThat(connection.usable()).isFalse();
  }

  private CompletableFuture<BackendResponse> write(String key, String value) {
    return run(key, value, LONG_TIMEOUT);
  }

  private CompletableFuture<BackendResponse> run(String key, String value, Duration timeout) {
    return connection.run(statement("put", key, value), timeout);
  }

  private static BackendStatement statement(String text, String key, String value) {
    return new BackendStatement(
        StatementKind.WRITE,
        key,
        text,
        List.of(JsonNodeFactory.instance.textNode(value)),
        1,
        Optional.empty());
  }

  private static AlderyardException failureOf(CompletableFuture<BackendResponse> response) {
    return Futures.toAlderyardException(assertThrows(CompletionException.class, response::join));
  }
}
