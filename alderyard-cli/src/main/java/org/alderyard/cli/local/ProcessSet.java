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

/** Java child processes of a local system, by name; {@link #close} stops all of them. */
final class ProcessSet implements AutoCloseable {
  private static final List<String> JVM_OPTIONS =
      List.of("-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xshare:auto");
  private static final long STOP_TIMEOUT_SECONDS = 40;

  private final Path folder;
  private final Map<String, Process> processes = new LinkedHashMap<>();

  // Without the hook, child processes would outlive a command that is terminated.
  private final Thread shutdownHook = new Thread(this::killAll, "end-processes");

  ProcessSet(Path folder) {
    this.folder = folder;
    Runtime.getRuntime().addShutdownHook(shutdownHook);
  }

  private synchronized void killAll() {
    processes.values().forEach(Process::destroyForcibly);
  }

  synchronized void start(String name, String maxHeap, Class<?> mainClass, List<String> arguments) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(JVM_OPTIONS);
    command.add("-Xmx" + maxHeap);
    command.add("-cp");
    command.add(System.getProperty("java.class.path"));
    command.add(mainClass.getName());
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

  /** Kills a process without a graceful shutdown, which simulates a power failure. */
  synchronized void kill(String name) {
    Process process = processes.remove(name);
    process.destroyForcibly();
    awaitExit(process);
  }

  /** Shuts a process down gracefully and waits until it exits. */
  void stop(String name) {
    Process process;
    synchronized (this) {
      process = processes.remove(name);
    }
    process.destroy();
    awaitExit(process);
  }

  /** Suspends a process with SIGSTOP, which simulates a long pause of its machine. */
  synchronized void pause(String name) {
    signal(name, "-STOP");
  }

  /** Resumes a suspended process with SIGCONT. */
  synchronized void resume(String name) {
    signal(name, "-CONT");
  }

  private void signal(String name, String signal) {
    String processId = Long.toString(processes.get(name).pid());
    awaitExit(run(List.of("kill", signal, processId), folder.resolve("signals.log").toFile()));
  }

  /** Returns the name of a process that exited by itself, or empty if all are alive. */
  synchronized Optional<String> exitedProcess() {
    return processes.entrySet().stream()
        .filter(process -> !process.getValue().isAlive())
        .map(Map.Entry::getKey)
        .findFirst();
  }

  private static void awaitExit(Process process) {
    try {
      if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        process.destroyForcibly();
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      process.destroyForcibly();
    }
  }

  @Override
  public synchronized void close() {
    processes.values().forEach(Process::destroy);
    processes.values().forEach(ProcessSet::awaitExit);
    try {
      Runtime.getRuntime().removeShutdownHook(shutdownHook);
    } catch (IllegalStateException shuttingDown) {
      // The JVM is shutting down: the hook is already running, and the processes have exited.
    }
  }
}
