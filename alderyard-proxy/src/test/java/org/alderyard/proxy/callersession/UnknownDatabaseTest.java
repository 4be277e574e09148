package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.proxy.view.ViewGate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests the refusal of a database that is not in a host's view. A host that was disconnected from
 * the control hosts while a database was added must not report to callers that the database does
 * not exist.
 */
class UnknownDatabaseTest {
  private final SessionFixture host = new SessionFixture();

  @AfterEach
  void close() {
    host.close();
  }

  private RefusalCode refusalCode() {
    return host.service.refusal("added-since", CallerIdentity.ANONYMOUS).orElseThrow().code();
  }

  @Test
  void hostWithUnconfirmedViewRefusesUnknownDatabaseAsBusy() {
    host.viewConfirmed = false;

    assertThat(refusalCode()).isEqualTo(RefusalCode.BUSY);
    assertThat(host.caller("added-since").read("a").refusedWith(RefusalCode.BUSY)).isTrue();
    assertThat(host.caller("added-since").begin().refusedWith(RefusalCode.BUSY)).isTrue();
  }

  @Test
  void hostWithConfirmedViewRefusesUnknownDatabase() {
    assertThat(refusalCode()).isEqualTo(RefusalCode.UNKNOWN_DATABASE);
    assertThat(host.caller("nowhere").read("a").refusedWith(RefusalCode.UNKNOWN_DATABASE)).isTrue();
  }

  @Test
  void knownDatabaseIsServedWithoutConfirmedView() {
    host.viewConfirmed = false;

    assertThat(host.service.refusal(SessionFixture.BOUNDED, CallerIdentity.ANONYMOUS)).isEmpty();
  }

  /** A host whose link was too slow for a change went on serving a route that it dropped. */
  @Test
  void hostThatLacksNewerViewServesNoDatabase() {
    SessionFixture.Caller open = host.caller(SessionFixture.BOUNDED);
    assertThat(open.read("a").succeeded()).isTrue();
    host.viewConfirmed = false;
    host.service.holdOperations(() -> CompletableFuture.completedFuture(false));

    assertThat(host.service.admission(SessionFixture.BOUNDED, CallerIdentity.ANONYMOUS).join())
        .isPresent();
    assertThat(open.read("a").refusedWith(RefusalCode.BUSY)).isTrue();
    assertThat(refusalCode()).isEqualTo(RefusalCode.BUSY);

    host.viewConfirmed = true;
    host.service.holdOperations(ViewGate.OPEN);
    assertThat(open.read("a").succeeded()).isTrue();
  }
}
