package org.alderyard.control.promotion;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerId;
import org.junit.jupiter.api.Test;

/** When a primary counts as lost. */
class SightingTableTest {
  private static final GroupId GROUP = new GroupId("g1");
  private static final ServerId PRIMARY = new ServerId("s1");

  private final SightingTable table = new SightingTable();

  private void report(String host, int silentMillis) {
    table.report(new HostId(host), GROUP, PRIMARY, silentMillis, 0);
  }

  private boolean lost() {
    return table.lost(GROUP, PRIMARY, 0);
  }

  @Test
  void primaryThatMostHostsMissIsLost() {
    report("h1", 900);
    report("h2", 900);
    report("h3", 0);

    assertThat(lost()).isTrue();
  }

  @Test
  void primaryThatOnlySomeHostsCannotReachStays() {
    // Some hosts are cut off from a primary that serves all others. A promotion would stop the
    // writes of everyone for the time of an appointment, and lose what replicas lack.
    report("h1", 900);
    report("h2", 0);
    report("h3", 0);

    assertThat(lost()).isFalse();
  }

  @Test
  void shortSilenceIsNoLoss() {
    report("h1", SightingTable.SILENT_MILLIS - 1);

    assertThat(lost()).isFalse();
  }

  @Test
  void wordsThatAreOldOrAboutAnotherServerDoNotCount() {
    report("h1", 5_000);
    long later = TimeUnit.SECONDS.toNanos(10);

    assertThat(table.lost(GROUP, PRIMARY, later)).isFalse();
    assertThat(table.lost(GROUP, new ServerId("s2"), 0)).isFalse();
  }
}
