package org.alderyard.control.state;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.View;
import org.alderyard.protocol.generated.control.ControlSnapshot;
import org.alderyard.protocol.generated.control.PendingPromotion;
import org.alderyard.protocol.generated.control.PromotionIntent;
import org.alderyard.protocol.generated.control.PromotionWithdrawal;

/**
 * The promotions whose calls may still be executed: the last intent of each group, until the group
 * has another primary or the intent is withdrawn.
 *
 * <p>A later leader finds the calls of an earlier one here.
 *
 * <p>Changes come one at a time; {@link #find} takes no lock.
 */
final class PromotionTable {
  private volatile Map<String, PendingPromotion> pending = Map.of();

  /** Records an intent; its fencing token is the index of its log entry. */
  void add(long index, PromotionIntent intent, View view) {
    Optional<GroupState> group = view.group(new GroupId(intent.getGroup()));
    if (group.isEmpty()) {
      return;
    }
    PendingPromotion promotion =
        PendingPromotion.newBuilder()
            .setGroup(intent.getGroup())
            .setServer(intent.getServer())
            .setReplacedPrimary(primaryOf(group.get()))
            .setFencingToken(index)
            .build();
    update(
        next -> {
          next.keySet().removeIf(id -> find(new GroupId(id), view).isEmpty());
          next.put(intent.getGroup(), promotion);
        });
  }

  private void update(Consumer<Map<String, PendingPromotion>> change) {
    Map<String, PendingPromotion> next = new HashMap<>(pending);
    change.accept(next);
    pending = Map.copyOf(next);
  }

  /** Removes an intent, unless the group has a later one. */
  void withdraw(PromotionWithdrawal withdrawal) {
    PendingPromotion last = pending.get(withdrawal.getGroup());
    if (last != null && last.getFencingToken() == withdrawal.getFencingToken()) {
      update(next -> next.remove(withdrawal.getGroup()));
    }
  }

  /** Returns the server that a pending call promotes. */
  Optional<ServerId> find(GroupId group, View view) {
    return Optional.ofNullable(pending.get(group.value()))
        .filter(last -> isUnchanged(view.group(group), last))
        .map(last -> new ServerId(last.getServer()));
  }

  private static boolean isUnchanged(Optional<GroupState> group, PendingPromotion last) {
    return group.filter(state -> primaryOf(state).equals(last.getReplacedPrimary())).isPresent();
  }

  private static String primaryOf(GroupState group) {
    return group.primary().map(ServerId::value).orElse("");
  }

  void store(ControlSnapshot.Builder snapshot) {
    pending.values().stream()
        .sorted(Comparator.comparing(PendingPromotion::getGroup))
        .forEach(snapshot::addPendingPromotions);
  }

  void restore(ControlSnapshot snapshot) {
    pending =
        snapshot.getPendingPromotionsList().stream()
            .collect(Collectors.toUnmodifiableMap(PendingPromotion::getGroup, last -> last));
  }
}
