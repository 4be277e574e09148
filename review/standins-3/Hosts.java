import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The project's hosts as processes, each on a loopback address of its own, with the command,
 * environment and settings template of the deploy file.
 */
final class Hosts implements AutoCloseable {
  static final int GRACE_SECONDS = 6;
  private static final String ADDRESS = "127.77.%d.%d";

  /** One host; the process changes with each start. */
  static final class Host {
    final String name;
    final String ip;
    final String zone;
    final boolean control;
    Process process;

    Host(String name, String ip, String zone, boolean control) {
      this.name = name;
      this.ip = ip;
      this.zone = zone;
      this.control = control;
    }
  }

  private final Path root;
  private final Path folder;
  private final Record record;
  private final List<Host> hosts = new ArrayList<>();
  private final int port;
  private final String cloudAddress;

  /** Creates hosts that are not started: the first ones with a disk, the others without. */
  Hosts(Path root, Record record, int controls, int others, int subnet) throws IOException {
    this.root = root;
    this.record = record;
    folder = Files.createTempDirectory("review-3-");
    for (int i = 1; i <= controls + others; i++) {
      String zone = "zone-" + (char) ('a' + (i - 1) % 3);
      hosts.add(new Host("h" + i, ADDRESS.formatted(subnet, i), zone, i <= controls));
    }
    port = freePorts();
    cloudAddress = ADDRESS.formatted(subnet, 200) + ":" + (port + 5);
    Runtime.getRuntime().addShutdownHook(new Thread(this::destroyAll));
  }

  private void destroyAll() {
    for (Host host : hosts) {
      if (host.process != null) {
        host.process.destroyForcibly();
      }
    }
  }

  /** Returns the first of six ports that are free on the address of each host. */
  private int freePorts() throws IOException {
    for (int first = 21_000 + (int) (ProcessHandle.current().pid() % 500) * 8; ; first += 8) {
      if (areFree(first)) {
        return first;
      }
    }
  }

  private boolean areFree(int first) {
    for (Host host : hosts) {
      for (int i = 0; i < 6; i++) {
        try (ServerSocket socket = new ServerSocket()) {
          socket.bind(new InetSocketAddress(host.ip, first + i));
        } catch (IOException inUse) {
          return false;
        }
      }
    }
    return true;
  }

  List<Host> all() {
    return hosts;
  }

  Host host(int number) {
    return hosts.get(number - 1);
  }

  InetSocketAddress front(Host host) {
    return new InetSocketAddress(host.ip, port);
  }

  InetSocketAddress ready(Host host) {
    return new InetSocketAddress(host.ip, port + 1);
  }

  InetSocketAddress control(Host host) {
    return new InetSocketAddress(host.ip, port + 2);
  }

  /** Returns the address at which a host answers other hosts. */
  InetSocketAddress inner(Host host) {
    return new InetSocketAddress(host.ip, port + 3);
  }

  InetSocketAddress cloud() {
    return new InetSocketAddress(cloudAddress.split(":")[0], port + 5);
  }

  void startAll() throws IOException {
    for (Host host : hosts) {
      start(host, true);
    }
  }

  /** Starts the process of a host. */
  void start(Host host, boolean bootstrap) throws IOException {
    Path settings = folder.resolve(host.name + ".ini");
    Files.writeString(settings, settings(host, bootstrap));
    String deploy = Files.readString(root.resolve("deploy/system.toml"));
    String run = first(deploy, "(?m)^run = \"(.*)\"$");
    List<String> words = new ArrayList<>(List.of(run.split(" ")));
    words.replaceAll(
        word -> word.equals("/etc/alderyard/settings.toml") ? settings.toString() : word);
    ProcessBuilder builder = new ProcessBuilder(words).directory(root.toFile());
    String variables = first(deploy, "(?m)^env = (.*)$");
    Matcher env = Pattern.compile("(\\w+) = \"([^\"]*)\"").matcher(variables);
    while (env.find()) {
      builder.environment().put(env.group(1), env.group(2));
    }
    File log = folder.resolve(host.name + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    host.process = builder.start();
    record.line("host %s started, pid %d", host.name, host.process.pid());
  }

  private static String first(String text, String pattern) {
    Matcher matcher = Pattern.compile(pattern).matcher(text);
    if (!matcher.find()) {
      throw new IllegalStateException("the deploy file has no " + pattern);
    }
    return matcher.group(1);
  }

  private String settings(Host host, boolean bootstrap) throws IOException {
    Map<String, String> values = new TreeMap<>();
    values.put("node_name", host.name);
    values.put("zone", host.zone);
    values.put("ip", host.ip);
    values.put("internal_ports.0", String.valueOf(port + 3));
    values.put("internal_ports.1", String.valueOf(port + 4));
    values.put("bind_addrs.front", host.ip + ":" + port);
    values.put("bind_addrs.ready", host.ip + ":" + (port + 1));
    values.put("bind_addrs.control", host.ip + ":" + (port + 2));
    values.put("cloud_api.address", cloudAddress);
    values.put("bounds.grace_s", String.valueOf(GRACE_SECONDS));
    values.put("bootstrap", String.valueOf(bootstrap));
    values.put("fault_tolerance.machines", "1");
    List<String> seeds = new ArrayList<>();
    hosts.stream()
        .filter(seed -> seed.control)
        .limit(3)
        .forEach(seed -> seeds.add(seed.ip + ":" + (port + 2)));
    values.put("seeds", String.join(",", seeds));
    if (host.control) {
      Path data = folder.resolve("data-" + host.name);
      Files.createDirectories(data);
      values.put("data_dir", data.toString());
    }
    return render(Files.readString(root.resolve("deploy/settings.ini")), values);
  }

  /** Fills in a template as the deploy page says, for plain values and their sections. */
  private static String render(String template, Map<String, String> values) {
    Matcher section =
        Pattern.compile("\\{\\{#([\\w.]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL).matcher(template);
    StringBuilder opened = new StringBuilder();
    while (section.find()) {
      String value = values.get(section.group(1));
      String text = value == null ? "" : section.group(2).replace("{{.}}", value);
      section.appendReplacement(opened, Matcher.quoteReplacement(text));
    }
    section.appendTail(opened);
    Matcher name = Pattern.compile("\\{\\{([\\w.]+)}}").matcher(opened);
    StringBuilder filled = new StringBuilder();
    while (name.find()) {
      String value = values.getOrDefault(name.group(1), "");
      name.appendReplacement(filled, Matcher.quoteReplacement(value));
    }
    name.appendTail(filled);
    return filled.toString();
  }

  /** Empties the disk of a host whose process has ended. */
  void wipe(Host host) throws IOException {
    try (Stream<Path> files = Files.walk(folder.resolve("data-" + host.name))) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
    record.line("host %s has lost its disk", host.name);
  }

  /** Sends a signal to the process of a host. */
  void signal(Host host, String signal) throws IOException, InterruptedException {
    record.line("signal %s to host %s, pid %d", signal, host.name, host.process.pid());
    new ProcessBuilder("kill", "-" + signal, String.valueOf(host.process.pid())).start().waitFor();
  }

  /** Returns the log of a host. */
  Path log(Host host) {
    return folder.resolve(host.name + ".log");
  }

  @Override
  public void close() throws IOException {
    destroyAll();
    for (Host host : hosts) {
      try {
        if (host.process != null) {
          host.process.waitFor(5, TimeUnit.SECONDS);
        }
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }
    if (System.getenv("KEEP") != null) {
      System.err.println("settings and logs: " + folder);
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
  }
}
