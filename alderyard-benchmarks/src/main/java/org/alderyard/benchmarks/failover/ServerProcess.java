package org.alderyard.benchmarks.failover;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.alderyard.backend.ServerReport;
import org.alderyard.backend.http.BackendJson;
import org.alderyard.backend.http.BackendPaths;
import org.alderyard.testkit.standin.StandInMain;

/** A stand-in server in a separate process that can be killed, suspended and made unreachable. */
final class ServerProcess implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofMillis(500);
  private static final Duration SET_FAULTS_TIMEOUT = Duration.ofSeconds(10);

  private final HttpClient http;
  private final String name;
  private final InetSocketAddress address;
  private final List<String> arguments;
  private final Path output;
  private final int answerDelayMillis;
  private long incarnation;
  private Process process;

  ServerProcess(
      HttpClient http,
      String name,
      InetSocketAddress address,
      List<String> arguments,
      Path folder,
      int answerDelayMillis) {
    this.http = http;
    this.name = name;
    this.address = address;
    this.arguments = new ArrayList<>(arguments);
    this.arguments.addAll(List.of("--data", folder.resolve(name + ".log").toString()));
    this.output = folder.resolve(name + ".out");
    this.answerDelayMillis = answerDelayMillis;
  }

  String name() {
    return name;
  }

  void start() {
    incarnation++;
    List<String> command =
        new ArrayList<>(
            List.of(
                "java",
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                StandInMain.class.getName(),
                "--incarnation",
                Long.toString(incarnation)));
    command.addAll(arguments);
    try {
      process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
              .directory(new File("."))
              .start();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Waits until the server responds, then sets its response delay. */
  void awaitReady() throws InterruptedException {
    while (report().isEmpty()) {
      Thread.sleep(50);
    }
    setFaults("{\"answerDelayMillis\":" + answerDelayMillis + "}");
  }

  void kill() {
    process.destroyForcibly();
  }

  void signal(String name) {
    try {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  void setUnreachable(boolean value) {
    setFaults("{\"unreachable\":" + value + "}");
  }

  private void setFaults(String body) {
    try {
      http.send(
          request("/stand-in/switches")
              .timeout(SET_FAULTS_TIMEOUT)
              .POST(HttpRequest.BodyPublishers.ofString(body))
              .build(),
          HttpResponse.BodyHandlers.discarding());
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the state that the server reports; empty if the server does not respond. */
  Optional<ServerReport> report() {
    try {
      var response =
          http.send(request(BackendPaths.STATE).build(), HttpResponse.BodyHandlers.ofByteArray());
      return Optional.of(BackendJson.report(BackendJson.parse(response.body())));
    } catch (IOException unresponsive) {
      return Optional.empty();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }

  private HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + path))
        .timeout(TIMEOUT);
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
