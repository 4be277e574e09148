package org.alderyard.cli.prove;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

/**
 * The seeded order of a soak: faults of processes one after the other, and beside most of them one
 * of the network, so that a host that starts again meets a cut, or a lost primary a silent
 * connection.
 */
final class OverlapSchedule {
  /** Of how many faults of processes one comes alone. */
  private static final int ALONE = 4;

  private final FaultSchedule processes;
  private final Random random;
  private final List<Fault> links = new ArrayList<>();

  OverlapSchedule(long seed) {
    processes = new FaultSchedule(seed);
    random = new Random(~seed);
  }

  Fault next() {
    Fault process = processes.next();
    if (random.nextInt(ALONE) == 0) {
      return process;
    }
    if (links.isEmpty()) {
      links.addAll(LinkFaults.all());
      Collections.shuffle(links, random);
    }
    Fault link = links.remove(0);
    // A chance of its own, so that a seed gives the same faults whichever of the two is faster.
    long chance = random.nextLong();
    return new Fault(
        process.name() + " + " + link.name(),
        (system, context) -> {
          CompletableFuture<Void> beside =
              CompletableFuture.runAsync(
                  () -> link.inject(system, context.beside(new SplittableRandom(chance))));
          process.inject(system, context);
          beside.join();
        });
  }
}
