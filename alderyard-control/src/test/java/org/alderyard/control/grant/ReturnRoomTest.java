package org.alderyard.control.grant;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.HostId;
import org.junit.jupiter.api.Test;

/**
 * Pattern: all hosts return at once. They lose power, and their callers come back with them while
 * each server still counts the connections of before. Hosts that had held all that a server accepts
 * were refused for seconds more, and so were most reads and writes of that time.
 */
class ReturnRoomTest {
  private static final int ACCEPTED = 25;
  private static final int HOSTS = 11;
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  /** A server refuses what is too much itself; each host has one connection without any grant. */
  private static int held(int granted) {
    return Math.max(1, granted);
  }

  private static ProxyId proxy(int number, long incarnation) {
    return new ProxyId(new HostId("h" + number), incarnation);
  }

  /** Returns what each host holds after some renewals with the given wish. */
  private static List<Integer> renewAll(
      GrantLedger ledger, int hosts, long incarnation, int wanted, long fromNanos) {
    List<Integer> held = new ArrayList<>();
    for (int number = 0; number < hosts; number++) {
      held.add(1);
    }
    for (int round = 1; round <= 4; round++) {
      for (int number = 0; number < hosts; number++) {
        int granted =
            ledger.renew(
                ACCEPTED,
                true,
                proxy(number, incarnation),
                round,
                held.get(number),
                wanted,
                fromNanos + round * SECOND);
        held.set(number, held(granted));
      }
    }
    return held;
  }

  private static int sum(List<Integer> held) {
    return held.stream().mapToInt(Integer::intValue).sum();
  }

  @Test
  void allHostsFindRoomWhileTheServerStillCountsTheirDeadConnections() {
    int dead = sum(renewAll(new GrantLedger(GrantOptions.ADVISORY, 0), HOSTS, 1, 1, 0));
    GrantLedger afterReturn = new GrantLedger(GrantOptions.ADVISORY, 60 * SECOND);
    int returned = sum(renewAll(afterReturn, HOSTS, 2, 1, 60 * SECOND));

    assertThat(dead + returned).isAtMost(ACCEPTED);
    assertThat(returned).isAtLeast(HOSTS);
  }

  @Test
  void newLeaderGrantsAtOnceAsServersRefuseWhatIsTooMuch() {
    GrantLedger fresh = new GrantLedger(GrantOptions.ADVISORY, 0);

    assertThat(fresh.renew(ACCEPTED, true, proxy(1, 2), 1, 1, 4, SECOND)).isEqualTo(4);
  }

  @Test
  void roomGivesWayToWorkAndTellsSo() {
    GrantLedger ledger = new GrantLedger(GrantOptions.ADVISORY, 0);
    int held = sum(renewAll(ledger, HOSTS, 1, 2, 0));

    assertThat(held).isEqualTo(2 * HOSTS);
    assertThat(ledger.beyondReturnRoom(ACCEPTED, 4 * SECOND))
        .isEqualTo(2 * HOSTS - ReturnRoom.calm(ACCEPTED));
  }

  @Test
  void workNeverGetsMoreThanTheServerAccepts() {
    List<Integer> held = renewAll(new GrantLedger(GrantOptions.ADVISORY, 0), HOSTS, 1, 9, 0);

    assertThat(sum(held)).isAtMost(ACCEPTED);
  }

  @Test
  void calmBoundLeavesAsMuchAndOneMore() {
    assertThat(ReturnRoom.calm(25)).isEqualTo(12);
    assertThat(ReturnRoom.calm(44)).isEqualTo(21);
    assertThat(ReturnRoom.calm(1)).isEqualTo(0);
  }
}
