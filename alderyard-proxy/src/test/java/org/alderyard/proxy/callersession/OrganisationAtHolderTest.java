package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against operations that no counter counts: the view of the holder that begins them lacks
 * the organisation, whose limit it therefore does not know.
 */
class OrganisationAtHolderTest {
  private final FleetFixture fleet = new FleetFixture("z0", "z0", "z0");
  private final SessionFixture caller = fleet.nonHolder();
  private final SessionFixture holder = fleet.host(fleet.holders().get(0));

  @AfterEach
  void close() {
    fleet.close();
  }

  private SessionReply write() {
    return caller.caller(SessionFixture.NEWEST, "key").write("x", "1");
  }

  @Test
  void operationOfOrganisationThatHolderLacksDoesNotRun() {
    caller.organisations(SessionFixture.organisation("a", "key"));

    SessionReply reply = write();

    assertThat(reply.refusedWith(RefusalCode.BUSY)).isTrue();
    assertThat(fleet.group.server("s1").ran()).isEmpty();
  }

  @Test
  void operationOfOrganisationThatHolderKnowsRuns() {
    caller.organisations(SessionFixture.organisation("a", "key"));
    holder.organisations(SessionFixture.organisation("a", "key"));

    assertThat(write().succeeded()).isTrue();
  }
}
