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

  /** Exits immediately, like a server whose port is in use. */
  static final class ExitsImmediately {
    private ExitsImmediately() {}

    public static void main(String[] arguments) {
      throw new IllegalStateException("the port is in use");
    }
  }

  @Test
  @Timeout(value = 60, unit = TimeUnit.SECONDS)
  void returnsNameOfExitedProcess() {
    // Without the name, a server that exits during startup is reported only as a timeout of the
    // hosts, and the cause must be searched for in a folder of 24 logs.
    try (ProcessSet processes = new ProcessSet(folder)) {
      processes.start("group-1-3", "32m", ExitsImmediately.class, List.of());
      while (processes.exitedProcess().isEmpty()) {
        Thread.onSpinWait();
      }
      assertThat(processes.exitedProcess()).hasValue("group-1-3");
    }
  }
}
