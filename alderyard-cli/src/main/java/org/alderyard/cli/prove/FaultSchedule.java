package org.alderyard.cli.prove;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** A seeded sequence of faults: each round contains every fault once, in random order. */
final class FaultSchedule {
  private final Random random;
  // Shared by all rounds, since each ticket number may be used only once.
  private final List<Fault> ticketFaults = TicketFaults.all();
  private final List<Fault> round = new ArrayList<>();

  FaultSchedule(long seed) {
    random = new Random(seed);
  }

  Fault next() {
    if (round.isEmpty()) {
      round.addAll(ServerFaults.all());
      round.addAll(HostFaults.all());
      round.addAll(ticketFaults);
      Collections.shuffle(round, random);
    }
    return round.remove(0);
  }
}
