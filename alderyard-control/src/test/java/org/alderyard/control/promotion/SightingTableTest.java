package org.alderyard.control.promotion;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerId;
import org.junit.jupiter.api.Test;

/** Tests when a primary counts as lost. */
class SightingTableTest {
  private static final GroupId GROUP = new GroupId("g1");
  private static final ServerId PRIMARY = new ServerId("s1");

  private final SightingTable sightings = new SightingTable();

  private void report(String host, int unresponsiveMillis) {
    sightings.add(new HostId(host), GROUP, PRIMARY, unresponsiveMillis, 0);
  }

  private boolean isLost() {
    return sightings.isLost(GROUP, PRIMARY, 0);
  }

  @Test
  void primaryUnresponsiveToMostHostsIsLost() {
    report("h1", 900);
    report("h2", 900);
    report("h3", 0);

    assertThat(isLost()).isTrue();
  }

  @Test
  void primaryThatOnlySomeHostsCannotReachIsNotLost() {
    // Guards against a promotion because some hosts cannot reach a primary that serves all others.
    // It would stop all writes until the appointment and lose writes that the replicas lack.
    report("h1", 900);
    report("h2", 0);
    report("h3", 0);

    assertThat(isLost()).isFalse();
  }

  @Test
  void brieflyUnresponsivePrimaryIsNotLost() {
    report("h1", SightingTable.UNRESPONSIVE_MILLIS - 1);

    assertThat(isLost()).isFalse();
  }

  @Test
  void sightingsThatAreOldOrOfAnotherServerDoNotCount() {
    report("h1", 5_000);
    long later = TimeUnit.SECONDS.toNanos(10);

    assertThat(sightings.isLost(GROUP, PRIMARY, later)).isFalse();
    assertThat(sightings.isLost(GROUP, new ServerId("s2"), 0)).isFalse();
  }
}
