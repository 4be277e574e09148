package org.alderyard.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
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
  // Guarded by this.
  private byte[] lastContent;
  private boolean signalPending;
  // Empty until the watch starts.
  private Optional<WorkerPool> workers = Optional.empty();
  private Consumer<DaemonSettings> onChange = settings -> {};

  /**
   * Creates a watch, which remembers the file's content. Must be created before the settings are
   * read, so that a change in between is noticed.
   */
  SettingsWatch(Path file) {
    this.file = file;
    this.lastContent = readFile();
  }

  /**
   * Handles SIGHUP from now on. Without a handler, the Java runtime ends the process on SIGHUP. A
   * signal that arrives before the watch starts takes effect when it starts.
   */
  void handleSignal() {
    Signal.handle(new Signal("HUP"), signal -> onSignal());
  }

  synchronized void onSignal() {
    signalPending = workers.isEmpty();
    workers.ifPresent(pool -> pool.execute(() -> reloadIfChanged("signal")));
  }

  /** Starts watching; reloads run on the given workers. */
  synchronized void start(WorkerPool pool, Consumer<DaemonSettings> listener) {
    workers = Optional.of(pool);
    onChange = listener;
    if (signalPending) {
      onSignal();
    }
    pool.scheduleRepeatedly(INTERVAL, () -> pool.execute(() -> reloadIfChanged("file")));
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
