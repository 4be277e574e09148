package org.alderyard.common.start;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs each stage of a start when it is reached for the first time, with the time and the processor
 * time that the process has used until then. At most one line for each stage. Thread-safe, without
 * a lock.
 */
public final class StartLog {
  private static final Logger log = LoggerFactory.getLogger(StartLog.class);

  private final Supplier<Optional<ProcessUse>> use;
  // One bit for each stage that was reached.
  private final AtomicInteger reached = new AtomicInteger();

  /** Creates a log of this process. */
  public StartLog() {
    this(ProcessUse::read);
  }

  StartLog(Supplier<Optional<ProcessUse>> use) {
    this.use = Objects.requireNonNull(use);
  }

  /** Records that a stage is reached now. */
  public void reached(StartStage stage) {
    if (isFirst(stage)) {
      write(stage, use.get());
    }
  }

  /** Records a stage that was reached before lines could be written. */
  public void reached(StartStage stage, Optional<ProcessUse> useThen) {
    if (isFirst(stage)) {
      write(stage, useThen);
    }
  }

  private boolean isFirst(StartStage stage) {
    int bit = 1 << stage.ordinal();
    // Read first, since statements come here for as long as the process runs.
    return (reached.get() & bit) == 0 && (reached.getAndUpdate(bits -> bits | bit) & bit) == 0;
  }

  private static void write(StartStage stage, Optional<ProcessUse> measured) {
    measured.ifPresent(
        times ->
            log.info(
                "event=start-stage stage={} millis={} processor-millis={}",
                stage.label(),
                times.elapsedMillis(),
                times.processorMillis()));
  }
}
