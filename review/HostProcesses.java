import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts the project's hosts as processes with the command and the template of the deploy file. */
final class HostProcesses implements AutoCloseable {
  private static final int PORTS = 8;
  private static final int FRONT = 0;
  private static final int READY = 1;
  private static final int CONTROL = 2;
  private static final int INTERNAL = 3;
  private static final String SETTINGS = "/etc/alderyard/settings.toml";

  private final Path repository;
  private final Path folder;
  private final int count;
  private final int basePort;
  private final String promotionAddress;
  private final RunRecord record;
  private final List<Process> processes = new ArrayList<>();

  HostProcesses(
      Path repository, Path folder, int count, String promotionAddress, RunRecord record)
      throws IOException {
    this.repository = repository;
    this.folder = folder;
    this.count = count;
    this.promotionAddress = promotionAddress;
    this.record = record;
    this.basePort = freePorts();
  }

  private int freePorts() throws IOException {
    Random random = new Random();
    for (int attempt = 0; attempt < 100; attempt++) {
      int base = 12_000 + random.nextInt(19_000);
      if (areFree(base)) {
        return base;
      }
    }
    throw new IOException("no free ports");
  }

  private boolean areFree(int base) {
    for (int host = 0; host < count; host++) {
      for (int port = base; port < base + PORTS; port++) {
        try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(ip(host)))) {
          probe.setReuseAddress(true);
        } catch (IOException inUse) {
          return false;
        }
      }
    }
    return true;
  }

  private static String ip(int host) {
    return "127.0.0." + (host + 1);
  }

  private String address(int host, int port) {
    return ip(host) + ":" + (basePort + port);
  }

  String caller(int host) {
    return address(host, FRONT);
  }

  List<String> controls() {
    List<String> all = new ArrayList<>();
    for (int host = 0; host < count; host++) {
      all.add(address(host, CONTROL));
    }
    return all;
  }

  void start() throws IOException {
    for (int host = 0; host < count; host++) {
      start(host);
    }
  }

  private void start(int host) throws IOException {
    Path settings = folder.resolve("host-" + host + ".ini");
    Path data = Files.createDirectories(folder.resolve("data-" + host));
    String template = Files.readString(repository.resolve("deploy/settings.ini"));
    Files.writeString(settings, render(template, values(host, data)));
    String deploy = Files.readString(repository.resolve("deploy/system.toml"));
    String command = quoted(deploy, "run = \"([^\"]*)\"").replace(SETTINGS, settings.toString());
    ProcessBuilder builder = new ProcessBuilder(Arrays.asList(command.split(" ")));
    builder.directory(repository.toFile());
    String environment = quoted(deploy, "env = \\{([^}]*)\\}");
    Matcher variable = Pattern.compile("(\\w+) = \"([^\"]*)\"").matcher(environment);
    while (variable.find()) {
      builder.environment().put(variable.group(1), variable.group(2));
    }
    File log = folder.resolve("host-" + host + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(log);
    processes.add(builder.start());
    record.add("host-started", host, address(host, FRONT));
  }

  private static String quoted(String text, String pattern) {
    Matcher matcher = Pattern.compile(pattern).matcher(text);
    if (!matcher.find()) {
      throw new IllegalStateException("deploy/system.toml has no " + pattern);
    }
    return matcher.group(1);
  }

  private Map<String, String> values(int host, Path data) {
    Map<String, String> values = new HashMap<>();
    values.put("node_name", "front-z" + host + "-1");
    values.put("zone", "z" + host);
    values.put("ip", ip(host));
    values.put("bind_addrs.front", address(host, FRONT));
    values.put("bind_addrs.ready", address(host, READY));
    values.put("bind_addrs.control", address(host, CONTROL));
    values.put("internal_ports.0", Integer.toString(basePort + INTERNAL));
    values.put("internal_ports.1", Integer.toString(basePort + PORTS - 1));
    values.put("seeds", String.join(",", controls()));
    values.put("bootstrap", "true");
    values.put("data_dir", data.toString());
    values.put("cloud_api.address", promotionAddress);
    values.put("bounds.grace_s", "6");
    values.put("fault_tolerance.machines", "1");
    return values;
  }

  /** Fills in a template as DEPLOY.md describes; a section is kept if its value is present. */
  static String render(String template, Map<String, String> values) {
    Matcher section =
        Pattern.compile("\\{\\{#([\\w.]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL).matcher(template);
    String withSections =
        section.replaceAll(
            found -> {
              String value = values.get(found.group(1));
              String text = value == null ? "" : found.group(2).replace("{{.}}", value);
              return Matcher.quoteReplacement(text);
            });
    return Pattern.compile("\\{\\{([\\w.]+)}}")
        .matcher(withSections)
        .replaceAll(
            found -> Matcher.quoteReplacement(values.getOrDefault(found.group(1), "")));
  }

  /** Waits until all hosts report that they are ready. */
  boolean awaitReady(long deadlineMillis) throws InterruptedException {
    while (record.nowMillis() < deadlineMillis) {
      int ready = 0;
      for (int host = 0; host < count; host++) {
        ready += isReady(host) ? 1 : 0;
      }
      if (ready == count) {
        return true;
      }
      Thread.sleep(200);
    }
    return false;
  }

  private boolean isReady(int host) {
    try {
      URI readiness = URI.create("http://" + address(host, READY) + "/api/readiness");
      HttpURLConnection call = (HttpURLConnection) readiness.toURL().openConnection();
      call.setConnectTimeout(500);
      call.setReadTimeout(500);
      return call.getResponseCode() == 200;
    } catch (IOException notUp) {
      return false;
    }
  }

  /** Returns whether all processes run. */
  boolean allRun() {
    return processes.stream().allMatch(Process::isAlive);
  }

  @Override
  public void close() {
    processes.forEach(Process::destroyForcibly);
    for (Process process : processes) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
