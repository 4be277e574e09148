package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionConnection;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.SessionRequest;
import org.alderyard.backend.session.SessionStatement;
import org.alderyard.backend.session.SessionStatement.Begin;
import org.alderyard.backend.session.SessionStatement.Commit;
import org.alderyard.backend.session.SessionStatement.Execute;
import org.alderyard.backend.session.SessionStatement.Prepare;
import org.alderyard.backend.session.SessionStatement.Reset;
import org.alderyard.backend.session.SessionStatement.Rollback;
import org.alderyard.backend.session.SessionStatement.SetValue;
import org.alderyard.backend.session.TransactionState;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.junit.jupiter.api.Test;

/** Tests which values and prepared statements count as present on a server's connection. */
class PooledSessionTest {
  private static final Map<String, String> BLUE = Map.of("colour", "blue");
  private static final Prepare SHAPE = new Prepare("p", StatementKind.READ, "shape");
  private static final String NAME = PooledSession.serverName(SHAPE);

  private final Set<Class<?>> refused = new HashSet<>();
  private boolean lost;
  private final PooledSession session =
      new PooledSession(new ScriptedConnection(), ConnectionOwner.NONE);

  private List<SessionStatement> setUp(
      Map<String, String> values, Optional<Prepare> shape, boolean mayReset) {
    List<SessionRequest> requests = session.setupRequests(values, shape, mayReset);
    if (!requests.isEmpty()) {
      session.run(requests, Duration.ofSeconds(1)).exceptionally(failure -> List.of());
    }
    return requests.stream().map(SessionRequest::statement).toList();
  }

  private List<SessionStatement> setUpBlue() {
    return setUp(BLUE, Optional.empty(), true);
  }

  @Test
  void acceptedValueIsNotSentAgain() {
    assertThat(setUpBlue()).containsExactly(new SetValue("colour", "blue"));
    assertThat(setUpBlue()).isEmpty();
  }

  @Test
  void refusedValueIsSentAgainAlsoWithTheValueBeforeTheRefusal() {
    setUpBlue();
    refused.add(SetValue.class);
    Map<String, String> red = Map.of("colour", "red");
    setUp(red, Optional.empty(), false);
    refused.clear();

    assertThat(session.setupRequests(red, Optional.empty(), true)).hasSize(1);
    assertThat(setUpBlue()).containsExactly(new SetValue("colour", "blue"));
    assertThat(setUpBlue()).isEmpty();
  }

  @Test
  void refusedValueIsResetForSessionWithoutIt() {
    refused.add(SetValue.class);
    setUpBlue();
    refused.clear();

    assertThat(setUp(Map.of(), Optional.empty(), true)).containsExactly(new Reset());
    assertThat(setUp(Map.of(), Optional.empty(), true)).isEmpty();
  }

  @Test
  void valueWithLostReplyIsSentAgain() {
    lost = true;
    setUpBlue();
    lost = false;

    assertThat(setUpBlue()).containsExactly(new SetValue("colour", "blue"));
  }

  @Test
  void refusedResetIsRepeated() {
    setUp(BLUE, Optional.of(SHAPE), true);
    refused.add(Reset.class);
    assertThat(setUp(Map.of(), Optional.empty(), true)).containsExactly(new Reset());
    refused.clear();

    assertThat(setUp(BLUE, Optional.of(SHAPE), true))
        .containsExactly(
            new Reset(), new SetValue("colour", "blue"), new Prepare(NAME, SHAPE.kind(), "shape"))
        .inOrder();
  }

  @Test
  void refusedStatementIsPreparedAgain() {
    refused.add(Prepare.class);
    setUp(Map.of(), Optional.of(SHAPE), false);
    refused.clear();

    assertThat(setUp(Map.of(), Optional.of(SHAPE), false)).hasSize(1);
    assertThat(setUp(Map.of(), Optional.of(SHAPE), false)).isEmpty();
  }

  @Test
  void statementThatServerHasLostIsPreparedAgain() {
    setUp(Map.of(), Optional.of(SHAPE), false);
    refused.add(Execute.class);
    session.run(
        List.of(SessionRequest.of("q", new Execute(NAME, "a", Optional.empty()))),
        Duration.ofSeconds(1));

    assertThat(setUp(Map.of(), Optional.of(SHAPE), false)).hasSize(1);
  }

  private void run(SessionStatement statement) {
    session.run(List.of(SessionRequest.internal(statement)), Duration.ofSeconds(1));
  }

  // Guards against values whose state after a rollback depends on the server.
  @Test
  void connectionIsResetAfterRollbackOfTransactionThatChangedValues() {
    run(new Begin(false));
    setUp(BLUE, Optional.of(SHAPE), false);
    run(new Rollback());

    assertThat(setUpBlue()).containsExactly(new Reset(), new SetValue("colour", "blue")).inOrder();
    assertThat(setUpBlue()).isEmpty();
  }

  @Test
  void connectionIsResetAfterRefusedCommitOfTransactionThatChangedValues() {
    run(new Begin(false));
    setUp(BLUE, Optional.empty(), false);
    refused.add(Commit.class);
    run(new Commit());

    assertThat(setUpBlue()).contains(new Reset());
  }

  @Test
  void valuesSetBeforeOrCommittedWithTransactionStay() {
    setUpBlue();
    run(new Begin(false));
    run(new Rollback());
    assertThat(setUpBlue()).isEmpty();

    Map<String, String> red = Map.of("colour", "red");
    run(new Begin(false));
    setUp(red, Optional.empty(), false);
    run(new Commit());
    assertThat(setUp(red, Optional.empty(), true)).isEmpty();
  }

  /** Refuses the statements of some types, or loses all replies. */
  private final class ScriptedConnection implements SessionConnection {
    @Override
    public CompletableFuture<List<SessionReply>> run(
        List<SessionRequest> requests, Duration timeout) {
      if (lost) {
        return CompletableFuture.failedFuture(
            AlderyardException.notRun(ErrorCode.CONNECTION_LOST, "scripted"));
      }
      List<SessionReply> replies = new ArrayList<>();
      for (SessionRequest request : requests) {
        replies.add(
            refused.contains(request.statement().getClass())
                ? SessionReply.refused(
                    RefusalCode.NOT_PREPARED, "scripted", TransactionState.FAILED)
                : SessionReply.success(TransactionState.OPEN));
      }
      return CompletableFuture.completedFuture(replies);
    }

    @Override
    public boolean usable() {
      return true;
    }

    @Override
    public void close() {}
  }
}
