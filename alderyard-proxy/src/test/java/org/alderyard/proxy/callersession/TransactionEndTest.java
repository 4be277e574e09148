package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.SessionStatement.Commit;
import org.alderyard.backend.session.SessionStatement.Read;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests transactions that another thread ends while their caller sends a statement. */
class TransactionEndTest {
  /** More than the number of times that a commit reads the clock. */
  private static final int MAX_CLOCK_READS = 12;

  private final SessionFixture fixture = new SessionFixture();

  @AfterEach
  void close() {
    fixture.close();
  }

  private void endAtClockRead(SessionFixture.Caller caller, int read) {
    AtomicInteger reads = new AtomicInteger();
    fixture.onClockRead =
        () -> {
          if (reads.incrementAndGet() == read) {
            caller.session.stopStatements();
          }
        };
  }

  /**
   * Guards against a confirmed commit without its writes: the transaction ends after its commit was
   * admitted, and the commit then runs as the first statement of a new transaction.
   */
  @Test
  void confirmedCommitHoldsItsWritesWheneverTransactionIsEnded() {
    for (int read = 1; read <= MAX_CLOCK_READS; read++) {
      String item = "item" + read;
      SessionFixture.Caller caller = fixture.caller(SessionFixture.NEWEST);
      caller.begin();
      assertThat(caller.write(item, "new").succeeded()).isTrue();
      endAtClockRead(caller, read);

      SessionReply reply = caller.commit();

      fixture.onClockRead = () -> {};
      boolean kept = fixture.caller(SessionFixture.NEWEST).read(item).rows().contains("new");
      assertWithMessage("ended at clock read %s", read).that(kept).isEqualTo(reply.succeeded());
    }
  }

  /**
   * Guards against two sessions on one connection: the rollback of the ended transaction and the
   * commit that runs on its connection both return the connection to the pool.
   */
  @Test
  void connectionIsReturnedOnceWhenTransactionIsEndedDuringCommit() throws Exception {
    SessionFixture.Caller ended = fixture.caller(SessionFixture.NEWEST);
    ended.begin();
    ended.write("a", "1");
    fixture.group.server("s1").holdResponses();
    CompletableFuture<SessionReply> commit = ended.session.handle("c", new Commit());
    ended.session.stopStatements();
    fixture.group.server("s1").releaseResponses();
    assertThat(commit.get(5, TimeUnit.SECONDS).succeeded()).isTrue();

    SessionFixture.Caller first = fixture.caller(SessionFixture.NEWEST);
    SessionFixture.Caller second = fixture.caller(SessionFixture.NEWEST);
    first.begin();
    second.begin();
    first.write("b", "1");
    second.write("c", "1");

    var ran = fixture.group.server("s1").ran();
    assertThat(ran.get(ran.size() - 1).connection())
        .isNotEqualTo(ran.get(ran.size() - 2).connection());
    assertThat(first.rollback().succeeded()).isTrue();
    assertThat(second.commit().succeeded()).isTrue();
  }

  @Test
  void transactionEndedDuringStatementIsRolledBackAfterIt() throws Exception {
    SessionFixture.Caller ended = fixture.caller(SessionFixture.NEWEST);
    ended.begin();
    ended.write("a", "1");
    fixture.group.server("s1").holdResponses();
    CompletableFuture<SessionReply> read = ended.session.handle("r", new Read("a"));
    ended.session.stopStatements();
    fixture.group.server("s1").releaseResponses();

    assertThat(read.get(5, TimeUnit.SECONDS).rows()).containsExactly("1");
    assertThat(ended.commit().refusedWith(RefusalCode.ABORTED)).isTrue();
    assertThat(fixture.caller(SessionFixture.NEWEST).read("a").rows()).doesNotContain("1");
  }
}
