package org.alderyard.common.start;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class StartLogTest {
  private static final String STAT =
      "42 (java (old) x) S 1 42 42 0 -1 4194304 9 0 0 0 31 12 0 0 20 0 9 0 50000 1 1 1\n";

  /** Guards against a program name with spaces and brackets that shifts the fields. */
  @Test
  void readsElapsedAndProcessorTime() {
    assertEquals(
        Optional.of(new ProcessUse(1_230, 430)), ProcessUse.parse(STAT, "501.23 1000.00\n"));
  }

  /** Guards against a start that fails on an operating system with other tables. */
  @Test
  void unexpectedTablesGiveNoTimes() {
    assertEquals(Optional.empty(), ProcessUse.parse("1 (java)", "5.0 6.0"));
    assertEquals(Optional.empty(), ProcessUse.parse(STAT, "none"));
  }

  /** Guards against a line for each statement of a running host. */
  @Test
  void measuresEachStageOnce() {
    AtomicInteger measured = new AtomicInteger();
    StartLog log =
        new StartLog(
            () -> {
              measured.incrementAndGet();
              return Optional.empty();
            });
    for (int i = 0; i < 3; i++) {
      log.reached(StartStage.STATEMENT);
      log.reached(StartStage.VIEW);
    }
    assertEquals(2, measured.get());
  }
}
