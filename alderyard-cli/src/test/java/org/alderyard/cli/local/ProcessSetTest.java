package org.alderyard.cli.local;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

class ProcessSetTest {
  @TempDir Path folder;

  /** Ends at once, as a server does whose port is taken. */
  static final class EndsAtOnce {
    private EndsAtOnce() {}

    public static void main(String[] arguments) {
      throw new IllegalStateException("the port is in use");
    }
  }

  @Test
  @Timeout(value = 60, unit = TimeUnit.SECONDS)
  void namesTheProcessThatEnded() {
    // A server ended while a local system started, and the user was told only that the hosts had
    // been waited for in vain, with a folder of 24 logs.
    try (ProcessSet processes = new ProcessSet(folder)) {
      processes.start("group-1-3", "32m", EndsAtOnce.class, List.of());
      while (processes.ended().isEmpty()) {
        Thread.onSpinWait();
      }
      assertThat(processes.ended()).hasValue("group-1-3");
    }
  }
}
