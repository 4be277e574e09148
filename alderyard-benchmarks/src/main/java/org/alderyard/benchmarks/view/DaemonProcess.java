package org.alderyard.benchmarks.view;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A daemon in a separate process, with resource usage as reported by the operating system. */
final class DaemonProcess implements AutoCloseable {
  private static final long STOP_SECONDS = 5;
  private static final int BYTES_PER_KIB = 1024;

  private final Process process;

  private DaemonProcess(Process process) {
    this.process = process;
  }

  /** Starts a daemon with the given maximum heap; the log is written next to the settings file. */
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

  /** Returns the processor time used by the process. */
  Duration processorTime() {
    return process.info().totalCpuDuration().orElseThrow();
  }

  /** Returns the number of bytes read and written by the process, almost all of them on sockets. */
  long bytes() {
    return value("io", "rchar") + value("io", "wchar");
  }

  /** Returns the resident memory of the process, in bytes. */
  long residentBytes() {
    return value("status", "VmRSS") * BYTES_PER_KIB;
  }

  private long value(String file, String field) {
    try {
      return Files.readAllLines(Path.of("/proc", String.valueOf(process.pid()), file)).stream()
          .filter(line -> line.startsWith(field + ":"))
          .map(line -> line.substring(field.length() + 1).trim().split(" ")[0])
          .mapToLong(Long::parseLong)
          .findFirst()
          .orElseThrow();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Kills the process without a shutdown, as in a power failure. */
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
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
