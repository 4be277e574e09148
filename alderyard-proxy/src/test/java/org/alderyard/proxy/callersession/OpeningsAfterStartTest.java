package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.session.Refusal;
import org.alderyard.testkit.session.ModelGroup;
import org.junit.jupiter.api.Test;

/** When a host that has just started begins to open sessions. */
class OpeningsAfterStartTest {
  private static final Duration LONG = Duration.ofHours(1);

  private static ModelGroup group() {
    return new ModelGroup("g1", "s1", "s2", "s3");
  }

  @Test
  void hostWithoutOtherDutiesServesWithItsFirstView() {
    try (SessionFixture host = new SessionFixture("z0", group())) {
      CompletableFuture<Optional<Refusal>> opening = host.service.admission(SessionFixture.NEWEST);
      assertThat(opening.isDone()).isTrue();
      assertThat(opening.join()).isEqualTo(Optional.empty());
    }
  }

  @Test
  void controlHostGivesTheOthersTheirViewsFirst() throws Exception {
    // Power was lost everywhere. The leader of the control hosts had its view first, and served the
    // callers that waited on it; on its one core the other hosts' requests for views stood behind
    // their statements, and callers of nine hosts waited 0.4 s longer than they had to.
    try (SessionFixture host = new SessionFixture("z0", group(), Duration.ofMillis(200))) {
      CompletableFuture<Optional<Refusal>> opening = host.service.admission(SessionFixture.NEWEST);
      assertThat(opening.join()).isEqualTo(Optional.empty());
      assertThat(host.service.admission(SessionFixture.NEWEST).isDone()).isTrue();
    }
  }

  @Test
  void openingIsNotRefusedOnlyBecauseTheHostHasOtherDuties() {
    try (SessionFixture host = new SessionFixture("z0", group(), LONG)) {
      assertThat(host.service.admission(SessionFixture.NEWEST).join()).isEqualTo(Optional.empty());
    }
  }

  @Test
  void hostCutOffFromControlAndPrimaryIsNotReady() {
    // A cut put a host on the side without the control hosts and without the primary. It reported
    // ready, since it had a configuration, and the balancer went on sending it callers.
    try (SessionFixture host = new SessionFixture("z0", group())) {
      assertThat(host.service.ready()).isTrue();
      host.group.server("s1").unreachable(true);
      host.caller(SessionFixture.NEWEST).write("kit", "one");
      host.advance(1_000);
      assertThat(host.service.ready()).isTrue();
      host.viewConfirmed = false;
      assertThat(host.service.ready()).isFalse();
      host.group.server("s1").unreachable(false);
      host.advance(5_000);
      host.caller(SessionFixture.NEWEST).write("kit", "one");
      assertThat(host.service.ready()).isTrue();
    }
  }
}
