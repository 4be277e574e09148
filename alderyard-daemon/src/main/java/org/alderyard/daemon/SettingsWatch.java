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
 * Reads the settings again when the process gets SIGHUP, and when the file has other content.
 *
 * <p>A file that can't be used changes nothing: the process goes on with what it has.
 */
final class SettingsWatch {
  private static final Logger log = LoggerFactory.getLogger(SettingsWatch.class);

  /** The pace at which the file is looked at where no signal tells of a change. */
  private static final Duration INTERVAL = Duration.ofSeconds(1);

  private final Path file;
  private final WorkerPool workers;
  private final Consumer<DaemonSettings> onChange;
  // Guarded by this.
  private byte[] content;

  SettingsWatch(Path file, WorkerPool workers, Consumer<DaemonSettings> onChange) {
    this.file = file;
    this.workers = workers;
    this.onChange = onChange;
    this.content = read();
  }

  /** Starts to look. Without a handler the runtime ends the process at SIGHUP. */
  void start() {
    Signal.handle(new Signal("HUP"), signal -> workers.execute(() -> look("signal")));
    workers.scheduleRepeatedly(INTERVAL, () -> look("file"));
  }

  synchronized void look(String trigger) {
    byte[] now = read();
    boolean signalled = trigger.equals("signal");
    if (Arrays.equals(now, content)) {
      if (signalled) {
        log.info("event=settings-unchanged trigger={}", trigger);
      }
      return;
    }
    content = now;
    try {
      onChange.accept(DaemonSettings.read(file));
      log.info("event=settings-reloaded trigger={}", trigger);
    } catch (AlderyardException unusable) {
      log.warn(
          "event=settings-refused trigger={} code={} reason=\"{}\"",
          trigger,
          unusable.code(),
          unusable.getMessage());
    }
  }

  private byte[] read() {
    try {
      return Files.readAllBytes(file);
    } catch (IOException unreadable) {
      log.warn("event=settings-unreadable reason=\"{}\"", unreadable.toString());
      return new byte[0];
    }
  }
}
