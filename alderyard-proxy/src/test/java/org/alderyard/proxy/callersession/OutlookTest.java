package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class OutlookTest {
  private static final long TIME = TimeUnit.MILLISECONDS.toNanos(800);

  private static final long OBJECTIVE = TimeUnit.MILLISECONDS.toNanos(200);

  private static OptionalLong lostMillis(long millis) {
    return OptionalLong.of(TimeUnit.MILLISECONDS.toNanos(millis));
  }

  @Test
  void hostCutOffFromControlAndPrimaryRefusesAtOnce() {
    // A cut put five hosts on one side, the new primary and the control hosts on the other. Their
    // callers' orders were held for half of their time each and then refused, although the hosts on
    // the other side could have run them at once.
    Outlook outlook = new Outlook(true, false, lostMillis(450));
    assertThat(outlook.searchOver(0, TIME, OBJECTIVE)).isTrue();
    assertThat(outlook.text()).contains("another one may serve it; retry after 1000 ms");
  }

  @Test
  void lostPrimaryIsWaitedForWhileItsSuccessorMayCome() {
    Outlook outlook = new Outlook(true, true, lostMillis(2_000));
    assertThat(outlook.searchOver(TIME / 4, TIME, OBJECTIVE)).isFalse();
    assertThat(outlook.searchOver(TIME / 2, TIME, OBJECTIVE)).isTrue();
    assertThat(outlook.retryAfterMillis()).isEqualTo(400);
    assertThat(new Outlook(true, true, lostMillis(5_000)).retryAfterMillis()).isEqualTo(100);
  }

  @Test
  void brokenConnectionIsNoLostPrimary() {
    Outlook outlook = new Outlook(true, false, lostMillis(50));
    assertThat(outlook.searchOver(0, TIME, OBJECTIVE)).isFalse();
    assertThat(outlook.retryAfterMillis()).isEqualTo(50);
  }

  @Test
  void readsOfReplicasGoOnOnHostThatIsCutOff() {
    Outlook outlook = new Outlook(false, false, lostMillis(5_000));
    assertThat(outlook.hopeless()).isFalse();
    assertThat(outlook.searchOver(0, TIME, OBJECTIVE)).isFalse();
  }

  @Test
  void statementWaitsForSlotNoLongerThanItsObjectiveAllows() {
    // Pattern: replicas lag, and all work falls on a primary with two slots. Statements waited for
    // half of their time, so that those that were served at last were late as well.
    Outlook outlook = new Outlook(true, true, OptionalLong.empty());
    assertThat(outlook.searchOver(OBJECTIVE - 1, TIME, OBJECTIVE)).isFalse();
    assertThat(outlook.searchOver(OBJECTIVE, TIME, OBJECTIVE)).isTrue();
  }

  @Test
  void statementWithoutObjectiveWaitsForHalfOfItsTime() {
    Outlook outlook = new Outlook(false, true, OptionalLong.empty());
    assertThat(outlook.searchOver(TIME / 2 - 1, TIME, 0)).isFalse();
    assertThat(outlook.searchOver(TIME / 2, TIME, 0)).isTrue();
  }

  @Test
  void callerIsToldAtOnceWhenTheNextPrimaryComesAfterTheStatementsTime() {
    // Pattern: a primary is dark. Each statement was held for half of its time, although the next
    // primary could not be there before the statement's end.
    Outlook outlook = new Outlook(true, true, lostMillis(500));
    assertThat(outlook.searchOver(0, TIME, OBJECTIVE)).isTrue();
    assertThat(outlook.retryAfterMillis()).isEqualTo(1_900);
    long longTime = TimeUnit.MILLISECONDS.toNanos(3_000);
    assertThat(outlook.searchOver(0, longTime, OBJECTIVE)).isFalse();
  }
}
