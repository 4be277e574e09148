package org.alderyard.cli.prove;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** The seeded order of faults: every kind once in each round, in another order each round. */
final class FaultSchedule {
  private final Random shuffle;
  // Kept over the rounds: ticket numbers are used once.
  private final List<Fault> tickets = TicketFaults.all();
  private final List<Fault> round = new ArrayList<>();

  FaultSchedule(long seed) {
    shuffle = new Random(seed);
  }

  Fault next() {
    if (round.isEmpty()) {
      round.addAll(ServerFaults.all());
      round.addAll(HostFaults.all());
      round.addAll(tickets);
      Collections.shuffle(round, shuffle);
    }
    return round.remove(0);
  }
}
