package org.alderyard.cli.prove;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

/**
 * A seeded sequence of faults for soak runs. Most process faults overlap with a network fault, for
 * example the restart of a host with a partition, or the loss of a primary with an unresponsive
 * connection.
 */
final class OverlapSchedule {
  /** One in this many process faults, on average, is injected without a network fault. */
  private static final int SINGLE_FAULT_ONE_IN = 4;

  private final FaultSchedule processFaults;
  private final Random random;
  private final List<Fault> linkFaults = new ArrayList<>();

  OverlapSchedule(long seed) {
    this(seed, "");
  }

  /**
   * Creates a sequence.
   *
   * @param onlyWith the text that the names of all process faults contain; empty for all faults
   */
  OverlapSchedule(long seed, String onlyWith) {
    processFaults = new FaultSchedule(seed, HostFaults.replacements(), onlyWith);
    random = new Random(~seed);
  }

  Fault next() {
    Fault processFault = processFaults.next();
    if (random.nextInt(SINGLE_FAULT_ONE_IN) == 0 || processFault.alone()) {
      return processFault;
    }
    if (linkFaults.isEmpty()) {
      linkFaults.addAll(LinkFaults.all());
      Collections.shuffle(linkFaults, random);
    }
    Fault linkFault = linkFaults.remove(0);
    // With a shared generator, the faults of a seed would depend on the timing of the two threads.
    long linkSeed = random.nextLong();
    return new Fault(
        processFault.name() + " + " + linkFault.name(),
        (system, context) -> {
          CompletableFuture<Void> linkInjection =
              CompletableFuture.runAsync(
                  () ->
                      linkFault.inject(system, context.withRandom(new SplittableRandom(linkSeed))));
          processFault.inject(system, context);
          linkInjection.join();
        });
  }
}
