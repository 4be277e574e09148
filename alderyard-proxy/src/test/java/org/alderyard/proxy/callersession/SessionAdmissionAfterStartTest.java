package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.session.Refusal;
import org.alderyard.testkit.session.ModelGroup;
import org.junit.jupiter.api.Test;

/** Tests when a started host begins to open sessions. */
class SessionAdmissionAfterStartTest {
  private static final Duration LONG_DELAY = Duration.ofHours(1);

  private static ModelGroup group() {
    return new ModelGroup("g1", "s1", "s2", "s3");
  }

  @Test
  void hostWithoutServingDelayAdmitsSessionsWithItsFirstView() {
    try (SessionFixture host = new SessionFixture("z0", group())) {
      CompletableFuture<Optional<Refusal>> admission =
          host.service.admission(SessionFixture.NEWEST, CallerIdentity.ANONYMOUS);
      assertThat(admission.isDone()).isTrue();
      assertThat(admission.join()).isEqualTo(Optional.empty());
    }
  }

  @Test
  void hostWithServingDelayAdmitsSessionsAfterTheDelay() throws Exception {
    // After a power loss on all hosts, the leader of the control hosts had the first view and
    // served waiting callers immediately. On its single core, view requests of the other hosts
    // queued behind these callers' statements, and the callers of nine hosts waited 0.4 s longer
    // than necessary.
    try (SessionFixture host = new SessionFixture("z0", group(), Duration.ofMillis(200))) {
      CompletableFuture<Optional<Refusal>> admission =
          host.service.admission(SessionFixture.NEWEST, CallerIdentity.ANONYMOUS);
      assertThat(admission.join()).isEqualTo(Optional.empty());
      assertThat(host.service.admission(SessionFixture.NEWEST, CallerIdentity.ANONYMOUS).isDone())
          .isTrue();
    }
  }

  @Test
  void sessionIsAdmittedAfterTimeoutDespiteServingDelay() {
    try (SessionFixture host = new SessionFixture("z0", group(), LONG_DELAY)) {
      assertThat(host.service.admission(SessionFixture.NEWEST, CallerIdentity.ANONYMOUS).join())
          .isEqualTo(Optional.empty());
    }
  }

  @Test
  void hostDisconnectedFromControlHostsAndPrimaryIsNotReady() {
    // A network partition separates a host from the control hosts and from the primary. If the host
    // reported ready because it has a configuration, the load balancer would keep sending callers
    // to it.
    try (SessionFixture host = new SessionFixture("z0", group())) {
      assertThat(host.service.ready()).isTrue();
      host.group.server("s1").setUnreachable(true);
      host.caller(SessionFixture.NEWEST).write("kit", "one");
      host.advance(1_000);
      assertThat(host.service.ready()).isTrue();
      host.viewConfirmed = false;
      assertThat(host.service.ready()).isFalse();
      host.group.server("s1").setUnreachable(false);
      host.advance(5_000);
      host.caller(SessionFixture.NEWEST).write("kit", "one");
      assertThat(host.service.ready()).isTrue();
    }
  }
}
