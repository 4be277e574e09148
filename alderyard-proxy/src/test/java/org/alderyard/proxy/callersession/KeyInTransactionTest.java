package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against final refusals of a key within a transaction by a view that no lease covers, or
 * although the key belongs to an organisation.
 */
class KeyInTransactionTest {
  private final SessionFixture host = new SessionFixture();
  private SessionFixture.Caller caller;

  @BeforeEach
  void beginTransaction() {
    host.organisations(SessionFixture.organisation("a", "key", "moved"));
    caller = host.caller(SessionFixture.NEWEST, "moved");
    assertThat(caller.begin().succeeded()).isTrue();
    assertThat(caller.write("x", "1").succeeded()).isTrue();
  }

  @AfterEach
  void close() {
    host.close();
  }

  private void removeKey() {
    host.organisations(SessionFixture.organisation("a", "key"));
  }

  private void moveKey() {
    host.organisations(
        SessionFixture.organisation("a", "key"), SessionFixture.organisation("b", "moved"));
  }

  @Test
  void keyMissingInUnconfirmedViewIsNotRefusedForGood() {
    removeKey();
    host.viewConfirmed = false;

    assertThat(caller.write("x", "2").refusedWith(RefusalCode.ABORTED)).isTrue();
  }

  @Test
  void keyOfOtherOrganisationIsNotRefusedForGood() {
    moveKey();

    assertThat(caller.write("x", "2").refusedWith(RefusalCode.ABORTED)).isTrue();
  }

  @Test
  void keyMissingInConfirmedViewIsRefusedForGood() {
    removeKey();

    assertThat(caller.write("x", "2").refusedWith(RefusalCode.UNAUTHORIZED)).isTrue();
  }

  /** The view that has the key again arrives when the state of the lease is read. */
  @Test
  void keyOfConfirmedViewMayRunStatement() {
    removeKey();
    host.onLeaseRead =
        () -> {
          host.onLeaseRead = () -> {};
          host.organisations(SessionFixture.organisation("a", "key", "moved"));
        };

    SessionReply reply = caller.write("x", "2");

    assertThat(reply.refusal()).isEmpty();
  }
}
