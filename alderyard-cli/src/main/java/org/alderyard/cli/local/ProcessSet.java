package org.alderyard.cli.local;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** The Java processes that a local system started, by name; closing ends all of them. */
final class ProcessSet implements AutoCloseable {
  private static final List<String> JVM_OPTIONS =
      List.of("-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xshare:auto");
  private static final long END_SECONDS = 40;

  private final Path folder;
  private final Map<String, Process> processes = new LinkedHashMap<>();

  // A command that is asked to end leaves no process behind.
  private final Thread atExit = new Thread(this::killAll, "end-processes");

  ProcessSet(Path folder) {
    this.folder = folder;
    Runtime.getRuntime().addShutdownHook(atExit);
  }

  private synchronized void killAll() {
    processes.values().forEach(Process::destroyForcibly);
  }

  synchronized void start(String name, String maxHeap, Class<?> main, List<String> arguments) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(JVM_OPTIONS);
    command.add("-Xmx" + maxHeap);
    command.add("-cp");
    command.add(System.getProperty("java.class.path"));
    command.add(main.getName());
    command.addAll(arguments);
    File output = folder.resolve(name + ".log").toFile();
    processes.put(name, run(command, output));
  }

  private static Process run(List<String> command, File output) {
    try {
      return new ProcessBuilder(command)
          .redirectErrorStream(true)
          .redirectOutput(ProcessBuilder.Redirect.appendTo(output))
          .start();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Ends a process at once, as a power cut does. */
  synchronized void kill(String name) {
    Process process = processes.remove(name);
    process.destroyForcibly();
    awaitEnd(process);
  }

  /** Asks a process to end and waits until it has. */
  void stop(String name) {
    Process process;
    synchronized (this) {
      process = processes.remove(name);
    }
    process.destroy();
    awaitEnd(process);
  }

  /** Stops a process from running at all, as a long pause of its machine does. */
  synchronized void pause(String name) {
    signal(name, "-STOP");
  }

  /** Lets a paused process run again. */
  synchronized void resume(String name) {
    signal(name, "-CONT");
  }

  private void signal(String name, String signal) {
    String processId = Long.toString(processes.get(name).pid());
    awaitEnd(run(List.of("kill", signal, processId), folder.resolve("signals.log").toFile()));
  }

  /** Returns the name of a process that ended by itself, if there is one. */
  synchronized Optional<String> ended() {
    return processes.entrySet().stream()
        .filter(process -> !process.getValue().isAlive())
        .map(Map.Entry::getKey)
        .findFirst();
  }

  private static void awaitEnd(Process process) {
    try {
      if (!process.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
        process.destroyForcibly();
      }
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
      process.destroyForcibly();
    }
  }

  @Override
  public synchronized void close() {
    processes.values().forEach(Process::destroy);
    processes.values().forEach(ProcessSet::awaitEnd);
    try {
      Runtime.getRuntime().removeShutdownHook(atExit);
    } catch (IllegalStateException exiting) {
      // The hook runs already, and finds processes that have ended.
    }
  }
}
