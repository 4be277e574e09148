package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against final refusals that one view causes and the lease of a newer view confirms: here
 * the view that allows the operation arrives when the state of the lease is read.
 */
class RefusalViewTest {
  private final SessionFixture host = new SessionFixture();

  @BeforeEach
  void configure() {
    host.organisations(SessionFixture.organisation("a", "key"));
  }

  @AfterEach
  void close() {
    host.close();
  }

  private void addDatabaseAtLeaseRead() {
    host.onLeaseRead =
        () -> {
          host.onLeaseRead = () -> {};
          host.addDatabase("added");
        };
  }

  private void addKeyAtLeaseRead() {
    host.onLeaseRead =
        () -> {
          host.onLeaseRead = () -> {};
          host.organisations(SessionFixture.organisation("a", "key", "added"));
        };
  }

  @Test
  void databaseOfConfirmedViewIsNotUnknownToNewSession() {
    addDatabaseAtLeaseRead();

    assertThat(host.service.refusal("added", SessionFixture.identity("key"))).isEmpty();
  }

  @Test
  void databaseOfConfirmedViewIsNotUnknownToStatement() {
    SessionFixture.Caller caller = host.caller("added", "key");
    addDatabaseAtLeaseRead();

    assertThat(caller.write("x", "1").refusal()).isEmpty();
  }

  @Test
  void databaseOfConfirmedViewIsNotUnknownToTransaction() {
    SessionFixture.Caller caller = host.caller("added", "key");
    addDatabaseAtLeaseRead();

    assertThat(caller.begin().refusal()).isEmpty();
  }

  @Test
  void keyOfConfirmedViewMayOpenSession() {
    addKeyAtLeaseRead();

    assertThat(host.service.refusal(SessionFixture.NEWEST, SessionFixture.identity("added")))
        .isEmpty();
  }

  @Test
  void keyOfConfirmedViewMayRunStatement() {
    SessionFixture.Caller caller = host.caller(SessionFixture.NEWEST, "added");
    addKeyAtLeaseRead();

    assertThat(caller.write("x", "1").refusal()).isEmpty();
  }

  @Test
  void keyOfConfirmedViewMayBeginTransaction() {
    SessionFixture.Caller caller = host.caller(SessionFixture.NEWEST, "added");
    addKeyAtLeaseRead();

    assertThat(caller.begin().refusal()).isEmpty();
  }
}
