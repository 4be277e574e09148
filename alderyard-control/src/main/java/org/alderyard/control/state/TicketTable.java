package org.alderyard.control.state;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.alderyard.protocol.generated.control.TicketAnswer;
import org.alderyard.protocol.generated.control.TicketVerdict;

/**
 * The numbers of accepted tickets and the first answer to each.
 *
 * <p>Memory is bounded: past the limit the lowest numbers go, and the highest of them becomes the
 * floor. Guards against a ticket that runs twice: an operator resends an old number, it shows no
 * longer in the table, and would undo what newer tickets did. At or below the floor nothing is ever
 * applied; the answer is {@code FORGOTTEN}, whether the number was accepted or not.
 */
final class TicketTable {
  /** About half a day of tickets at the size to design for. */
  static final int DEFAULT_LIMIT = 20_000;

  private final int limit;
  private final TreeMap<Long, TicketAnswer> accepted = new TreeMap<>();
  private long floor;

  TicketTable(int limit) {
    this.limit = limit;
  }

  /** Returns the answer to a number that was used before. */
  Optional<TicketAnswer> earlier(long number, ByteString contentHash) {
    if (number <= floor) {
      return Optional.of(forgotten(number, contentHash));
    }
    return find(number)
        .map(
            first ->
                first.getContentHash().equals(contentHash)
                    ? first
                    : first.toBuilder().setVerdict(TicketVerdict.CONFLICT).build());
  }

  private TicketAnswer forgotten(long number, ByteString contentHash) {
    return TicketAnswer.newBuilder()
        .setNumber(number)
        .setContentHash(contentHash)
        .setVerdict(TicketVerdict.FORGOTTEN)
        .setFloor(floor)
        .build();
  }

  /** Remembers the answer to a number that was not used before. */
  void accept(TicketAnswer answer) {
    accepted.put(answer.getNumber(), answer);
    while (accepted.size() > limit) {
      floor = accepted.pollFirstEntry().getKey();
    }
  }

  Optional<TicketAnswer> find(long number) {
    return Optional.ofNullable(accepted.get(number));
  }

  /** Returns the answers of the highest numbers, the highest first. */
  List<TicketAnswer> newest(int count) {
    return accepted.descendingMap().values().stream().limit(count).toList();
  }

  Collection<TicketAnswer> all() {
    return new ArrayList<>(accepted.values());
  }

  int size() {
    return accepted.size();
  }

  long floor() {
    return floor;
  }

  void restore(Collection<TicketAnswer> answers, long restoredFloor) {
    accepted.clear();
    answers.forEach(answer -> accepted.put(answer.getNumber(), answer));
    floor = restoredFloor;
  }
}
