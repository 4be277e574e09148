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
 * Numbers of the accepted tickets, with the first answer to each.
 *
 * <p>The table is bounded: when it is full, the lowest numbers are removed, and the highest removed
 * number becomes the floor. Numbers at or below the floor are answered with {@code FORGOTTEN} and
 * never applied, whether they were accepted or not. Otherwise an old ticket that an operator
 * resends would be applied a second time and undo the changes of newer tickets.
 */
final class TicketTable {
  /**
   * Default maximum number of tickets in the table, about half a day of tickets at the size the
   * system is designed for.
   */
  static final int DEFAULT_MAX_TICKETS = 20_000;

  private final int maxTickets;
  private final TreeMap<Long, TicketAnswer> answers = new TreeMap<>();
  private long floor;

  TicketTable(int maxTickets) {
    this.maxTickets = maxTickets;
  }

  /**
   * Returns the answer to a number that was used before or is at or below the floor.
   *
   * <p>The answer is a {@code CONFLICT} if the number was accepted with another content hash.
   */
  Optional<TicketAnswer> findPreviousAnswer(long number, ByteString contentHash) {
    if (number <= floor) {
      return Optional.of(forgottenAnswer(number, contentHash));
    }
    return find(number)
        .map(
            previous ->
                previous.getContentHash().equals(contentHash)
                    ? previous
                    : previous.toBuilder().setVerdict(TicketVerdict.CONFLICT).build());
  }

  private TicketAnswer forgottenAnswer(long number, ByteString contentHash) {
    return TicketAnswer.newBuilder()
        .setNumber(number)
        .setContentHash(contentHash)
        .setVerdict(TicketVerdict.FORGOTTEN)
        .setFloor(floor)
        .build();
  }

  /** Records the answer to a number that was not used before. */
  void add(TicketAnswer answer) {
    answers.put(answer.getNumber(), answer);
    while (answers.size() > maxTickets) {
      floor = answers.pollFirstEntry().getKey();
    }
  }

  Optional<TicketAnswer> find(long number) {
    return Optional.ofNullable(answers.get(number));
  }

  /** Returns the answers to the highest numbers, in descending order. */
  List<TicketAnswer> highestNumbers(int count) {
    return answers.descendingMap().values().stream().limit(count).toList();
  }

  Collection<TicketAnswer> all() {
    return new ArrayList<>(answers.values());
  }

  int size() {
    return answers.size();
  }

  long floor() {
    return floor;
  }

  void restore(Collection<TicketAnswer> restoredAnswers, long newFloor) {
    answers.clear();
    restoredAnswers.forEach(answer -> answers.put(answer.getNumber(), answer));
    floor = newFloor;
  }
}
