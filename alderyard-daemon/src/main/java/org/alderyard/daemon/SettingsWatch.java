package org.alderyard.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.function.Consumer;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/**
 * Reloads the settings file on SIGHUP and when its content changes.
 *
 * <p>An invalid file is ignored; the process keeps its current settings.
 */
final class SettingsWatch {
  private static final Logger log = LoggerFactory.getLogger(SettingsWatch.class);

  /** Interval of the check for changed content, which needs no signal. */
  private static final Duration INTERVAL = Duration.ofSeconds(1);

  private final Path file;
  private final WorkerPool workers;
  private final Consumer<DaemonSettings> onChange;
  // Guarded by this.
  private byte[] lastContent;

  SettingsWatch(Path file, WorkerPool workers, Consumer<DaemonSettings> onChange) {
    this.file = file;
    this.workers = workers;
    this.onChange = onChange;
    this.lastContent = readFile();
  }

  /**
   * Starts watching. Without the signal handler, the Java runtime would end the process on SIGHUP.
   */
  void start() {
    Signal.handle(new Signal("HUP"), signal -> workers.execute(() -> reloadIfChanged("signal")));
    workers.scheduleRepeatedly(INTERVAL, () -> reloadIfChanged("file"));
  }

  synchronized void reloadIfChanged(String trigger) {
    byte[] currentContent = readFile();
    boolean signalled = trigger.equals("signal");
    if (Arrays.equals(currentContent, lastContent)) {
      if (signalled) {
        log.info("event=settings-unchanged trigger={}", trigger);
      }
      return;
    }
    lastContent = currentContent;
    try {
      onChange.accept(DaemonSettings.read(file));
      log.info("event=settings-reloaded trigger={}", trigger);
    } catch (AlderyardException loadFailure) {
      log.warn(
          "event=settings-refused trigger={} code={} reason=\"{}\"",
          trigger,
          loadFailure.code(),
          loadFailure.getMessage());
    }
  }

  private byte[] readFile() {
    try {
      return Files.readAllBytes(file);
    } catch (IOException readFailure) {
      log.warn("event=settings-unreadable reason=\"{}\"", readFailure.toString());
      return new byte[0];
    }
  }
}
