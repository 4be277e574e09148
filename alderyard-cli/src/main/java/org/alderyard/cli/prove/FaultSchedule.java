package org.alderyard.cli.prove;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;

/** A seeded sequence of faults: each round contains every fault once, in random order. */
final class FaultSchedule {
  private final Random random;
  // Shared by all rounds, since each ticket number may be used only once.
  private final List<Fault> ticketFaults = TicketFaults.all();
  private final List<Fault> furtherFaults;
  private final String onlyWith;
  private final List<Fault> round = new ArrayList<>();

  FaultSchedule(long seed) {
    this(seed, List.of(), "");
  }

  /**
   * Creates a sequence with further faults in each round.
   *
   * @param onlyWith the text that the names of all faults contain; empty for all faults
   */
  FaultSchedule(long seed, List<Fault> furtherFaults, String onlyWith) {
    random = new Random(seed);
    this.furtherFaults = List.copyOf(furtherFaults);
    this.onlyWith = onlyWith;
  }

  Fault next() {
    if (round.isEmpty()) {
      round.addAll(ServerFaults.all());
      round.addAll(HostFaults.all());
      round.addAll(ticketFaults);
      round.addAll(furtherFaults);
      round.removeIf(fault -> !fault.name().contains(onlyWith));
      if (round.isEmpty()) {
        throw AlderyardException.notRun(
            ErrorCode.SETTINGS_INVALID, "no fault has a name that contains '" + onlyWith + "'");
      }
      Collections.shuffle(round, random);
    }
    return round.remove(0);
  }
}
