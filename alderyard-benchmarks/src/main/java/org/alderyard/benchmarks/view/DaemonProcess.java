package org.alderyard.benchmarks.view;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One daemon in its own process, with what the operating system says of it. */
final class DaemonProcess implements AutoCloseable {
  private static final long STOP_SECONDS = 5;
  private static final int KIBI = 1024;

  private final Process process;

  private DaemonProcess(Process process) {
    this.process = process;
  }

  /** Starts a daemon with the heap of the launcher; its log goes to a file beside the settings. */
  static DaemonProcess start(Path settings, int heapMib) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-Xms32m", "-Xmx" + heapMib + "m", "-XX:+UseSerialGC", "-cp"));
    command.add(System.getProperty("java.class.path"));
    command.addAll(List.of("org.alderyard.daemon.DaemonMain", "--settings", settings.toString()));
    Path log = settings.resolveSibling(settings.getFileName() + ".log");
    return new DaemonProcess(
        new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile()).start());
  }

  /** Returns the processor time that it has used. */
  Duration processorTime() {
    return process.info().totalCpuDuration().orElseThrow();
  }

  /** Returns the bytes that it has read and written, almost all of it on sockets. */
  long bytes() {
    return value("io", "rchar") + value("io", "wchar");
  }

  /** Returns its resident memory in bytes. */
  long residentBytes() {
    return value("status", "VmRSS") * KIBI;
  }

  private long value(String file, String field) {
    try {
      return Files.readAllLines(Path.of("/proc", String.valueOf(process.pid()), file)).stream()
          .filter(line -> line.startsWith(field + ":"))
          .map(line -> line.substring(field.length() + 1).trim().split(" ")[0])
          .mapToLong(Long::parseLong)
          .findFirst()
          .orElseThrow();
    } catch (IOException unreadable) {
      throw new UncheckedIOException(unreadable);
    }
  }

  /** Ends the process without a shutdown, as a loss of power does. */
  void kill() {
    process.destroyForcibly();
    process.onExit().join();
  }

  @Override
  public void close() {
    process.destroy();
    try {
      if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
        process.destroyForcibly();
      }
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }
}
