package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import org.alderyard.backend.session.RefusalCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against blame for a name that only this host does not know: a database was added while the
 * host was cut off from the control hosts, and its callers were told that there is none.
 */
class UnknownDatabaseTest {
  private final SessionFixture host = new SessionFixture();

  @AfterEach
  void close() {
    host.close();
  }

  private RefusalCode opening() {
    return host.service.refusal("added-since").orElseThrow().code();
  }

  @Test
  void hostThatLostTouchSendsTheCallerToAnother() {
    host.viewConfirmed = false;

    assertThat(opening()).isEqualTo(RefusalCode.BUSY);
    assertThat(host.caller("added-since").read("a").refusedWith(RefusalCode.BUSY)).isTrue();
    assertThat(host.caller("added-since").begin().refusedWith(RefusalCode.BUSY)).isTrue();
  }

  @Test
  void hostWhoseViewIsConfirmedSaysThatThereIsNone() {
    assertThat(opening()).isEqualTo(RefusalCode.UNKNOWN_DATABASE);
    assertThat(host.caller("nowhere").read("a").refusedWith(RefusalCode.UNKNOWN_DATABASE)).isTrue();
  }

  @Test
  void databasesThatAreKnownAreServedWithoutConfirmation() {
    host.viewConfirmed = false;

    assertThat(host.service.refusal(SessionFixture.BOUNDED)).isEmpty();
  }
}
