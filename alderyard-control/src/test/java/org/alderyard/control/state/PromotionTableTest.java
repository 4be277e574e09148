package org.alderyard.control.state;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.protocol.generated.control.ControlSnapshot;
import org.alderyard.protocol.generated.control.PromotionIntent;
import org.alderyard.protocol.generated.control.PromotionWithdrawal;
import org.junit.jupiter.api.Test;

/** Tests which promotions count as pending. */
class PromotionTableTest {
  private static final GroupId GROUP = new GroupId("g1");
  private static final ServerId CALLED = new ServerId("s2");

  private final PromotionTable table = new PromotionTable();

  private static View view(String primary) {
    View.Editor editor = View.EMPTY.edit();
    editor
        .groups()
        .put(GROUP, new GroupState(GROUP, 1, Optional.of(new ServerId(primary)), List.of(), 2, 40));
    return editor.at(new ViewVersion(1, 1));
  }

  private void addIntent(long token) {
    table
        .add(
            token,
            PromotionIntent.newBuilder()
                .setGroup(GROUP.value())
                .setServer(CALLED.value())
                .setHolder("h1")
                .build(),
            view("s1"))
        .commit();
  }

  private void withdraw(long token) {
    table
        .withdraw(
            PromotionWithdrawal.newBuilder().setGroup(GROUP.value()).setFencingToken(token).build())
        .commit();
  }

  @Test
  void intentIsPendingUntilGroupHasAnotherPrimary() {
    addIntent(7);

    assertThat(table.find(GROUP, view("s1"))).hasValue(CALLED);
    assertThat(table.find(GROUP, view("s2"))).isEmpty();
    assertThat(table.find(GROUP, View.EMPTY)).isEmpty();
  }

  // Guards against a withdrawal that arrives after the next intent and hides its calls.
  @Test
  void withdrawalOfEarlierIntentChangesNothing() {
    addIntent(7);
    addIntent(9);

    withdraw(7);
    assertThat(table.find(GROUP, view("s1"))).hasValue(CALLED);
    withdraw(9);
    assertThat(table.find(GROUP, view("s1"))).isEmpty();
  }

  // Guards against a restarted leader that knows nothing of the calls before its snapshot.
  @Test
  void snapshotHoldsPendingPromotions() {
    addIntent(7);
    ControlSnapshot.Builder snapshot = ControlSnapshot.newBuilder();
    table.store(snapshot);

    PromotionTable restored = new PromotionTable();
    restored.restore(snapshot.build());
    assertThat(restored.find(GROUP, view("s1"))).hasValue(CALLED);
  }

  @Test
  void intentForUnknownGroupIsIgnored() {
    table
        .add(7, PromotionIntent.newBuilder().setGroup("g9").setServer("s2").build(), view("s1"))
        .commit();

    assertThat(table.find(new GroupId("g9"), view("s1"))).isEmpty();
  }
}
