package org.alderyard.control.state;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
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

  /** Plans the record of an intent; its fencing token is the index of its log entry. */
  Plan add(long index, PromotionIntent intent, View view) {
    Optional<GroupState> group = view.group(new GroupId(intent.getGroup()));
    if (group.isEmpty()) {
      return new Plan();
    }
    PendingPromotion promotion =
        PendingPromotion.newBuilder()
            .setGroup(intent.getGroup())
            .setServer(intent.getServer())
            .setReplacedPrimary(primaryOf(group.get()))
            .setFencingToken(index)
            .build();
    Map<String, PendingPromotion> next = new HashMap<>(pending);
    next.keySet().removeIf(id -> find(new GroupId(id), view).isEmpty());
    next.put(intent.getGroup(), promotion);
    return new Plan().effect(() -> pending = Map.copyOf(next));
  }

  /** Plans the removal of an intent, unless the group has a later one. */
  Plan withdraw(PromotionWithdrawal withdrawal) {
    PendingPromotion last = pending.get(withdrawal.getGroup());
    if (last == null || last.getFencingToken() != withdrawal.getFencingToken()) {
      return new Plan();
    }
    Map<String, PendingPromotion> next = new HashMap<>(pending);
    next.remove(withdrawal.getGroup());
    return new Plan().effect(() -> pending = Map.copyOf(next));
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
        SnapshotFilter.readable(
                snapshot.getPendingPromotionsList(),
                promotion -> "promotion/" + promotion.getGroup(),
                PromotionTable::check)
            .stream()
            .collect(
                Collectors.toUnmodifiableMap(
                    PendingPromotion::getGroup, last -> last, (first, last) -> last));
  }

  private static void check(PendingPromotion promotion) {
    new GroupId(promotion.getGroup());
    new ServerId(promotion.getServer());
  }
}
