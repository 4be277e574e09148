package org.alderyard.cli.demo;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The Java processes that the demonstration started, by name; closing ends all of them. */
final class ProcessSet implements AutoCloseable {
  private static final List<String> JVM_OPTIONS =
      List.of("-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xshare:auto");
  private static final long END_SECONDS = 10;

  private final Path folder;
  private final Map<String, Process> processes = new LinkedHashMap<>();

  ProcessSet(Path folder) {
    this.folder = folder;
  }

  void start(String name, String maxHeap, Class<?> main, List<String> arguments) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(JVM_OPTIONS);
    command.add("-Xmx" + maxHeap);
    command.add("-cp");
    command.add(System.getProperty("java.class.path"));
    command.add(main.getName());
    command.addAll(arguments);
    File output = folder.resolve(name + ".log").toFile();
    try {
      processes.put(
          name,
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(output))
              .start());
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Ends a process at once, as a power cut does. */
  void kill(String name) {
    processes.remove(name).destroyForcibly();
  }

  boolean allAlive() {
    return processes.values().stream().allMatch(Process::isAlive);
  }

  @Override
  public void close() {
    processes.values().forEach(Process::destroy);
    for (Process process : processes.values()) {
      try {
        if (!process.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
          process.destroyForcibly();
        }
      } catch (InterruptedException stopped) {
        Thread.currentThread().interrupt();
        process.destroyForcibly();
      }
    }
  }
}
