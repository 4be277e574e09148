package org.alderyard.cli.local;

import java.io.BufferedReader;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.alderyard.daemon.DaemonMain;
import org.alderyard.testkit.net.FreePorts;

/** Three control hosts and one host without the control role, each a process of its own. */
final class SuspendableCluster implements AutoCloseable {
  static final int CONTROL_HOSTS = 3;
  static final int HOSTS = CONTROL_HOSTS + 1;
  static final Duration OPERATOR_TIMEOUT = Duration.ofSeconds(1);
  private static final int PORTS = 4;
  private static final int CALLER = 0;
  private static final int INNER = 1;
  private static final int OPERATOR = 2;
  private static final int READY = 3;

  /** About as many steps of a shell's loop as take a millisecond. */
  private static final long SPINS_PER_MILLI = 2_000;

  private static final Pattern LEADING =
      Pattern.compile("event=term-changed term=(\\d+) leading=true");
  private static final Pattern EVIDENCE =
      Pattern.compile(
          "event=proposal-replaced|event=database-unknown.*current-view-has-it=true"
              + "|event=view-fetch-overtaken|event=host-suspended");

  private static final Pattern CONFIRMATION =
      Pattern.compile("event=configuration number=(\\d+) in-force=(\\d+)");

  private final Path folder;
  private final int[][] ports = new int[HOSTS][];
  private final long[] processIds = new long[HOSTS];
  private final ProcessSet processes;
  private final Map<Integer, Integer> readLines = new HashMap<>();

  /** An HTTP response. */
  record Response(int status, String body) {}

  SuspendableCluster(Path folder) throws IOException {
    this.folder = folder;
    for (int host = 0; host < HOSTS; host++) {
      ports[host] = IntStream.generate(FreePorts::next).limit(PORTS).toArray();
    }
    Files.writeString(folder.resolve("cluster.key"), "0123456789abcdef0123456789abcdef");
    processes = new ProcessSet(folder);
    for (int host = 0; host < HOSTS; host++) {
      Path file = folder.resolve(name(host) + ".ini");
      Files.writeString(file, settings(host));
      start(host);
    }
  }

  private void start(int host) {
    Path file = folder.resolve(name(host) + ".ini");
    Set<Long> before = children();
    processes.start(name(host), "96m", DaemonMain.class, List.of("--settings", file.toString()));
    Set<Long> started = children();
    started.removeAll(before);
    processIds[host] = started.iterator().next();
  }

  /** Kills a host and starts it again with its disk. */
  void killAndRestart(int host, Duration pause) {
    processes.kill(name(host));
    sleep(pause);
    start(host);
  }

  static String name(int host) {
    return host < CONTROL_HOSTS ? "control-" + host : "entry";
  }

  private String settings(int host) throws IOException {
    boolean control = host < CONTROL_HOSTS;
    Files.createDirectories(folder.resolve("data-" + host));
    String[] lines = {
      "[host]",
      "id = " + name(host),
      "zone = z",
      "cluster-id = c",
      "roles = proxy" + (control ? ", control" : ""),
      "[network]",
      "caller-address = 127.0.0.1:" + ports[host][CALLER],
      "inner-address = 127.0.0.1:" + ports[host][INNER],
      "operator-address = 127.0.0.1:" + ports[host][OPERATOR],
      "[sessions]",
      "ready-address = 127.0.0.1:" + ports[host][READY],
      "grace = 1s",
      "[control]",
      "hosts =" + String.join(",", controlAddresses()),
      control ? "data-folder = data-" + host : "",
      "[proxy]",
      "worker-threads = 2",
      "io-threads = 1",
      "inner-threads = 1",
      "[keys]",
      "cluster-key-file = cluster.key",
      ""
    };
    return String.join("\n", lines);
  }

  private List<String> controlAddresses() {
    List<String> addresses = new ArrayList<>();
    for (int host = 0; host < CONTROL_HOSTS; host++) {
      addresses.add(" 127.0.0.1:" + ports[host][INNER]);
    }
    return addresses;
  }

  void suspend(int host) {
    processes.pause(name(host));
  }

  void resume(int host) {
    processes.resume(name(host));
  }

  /**
   * Lets a suspended host run for short times only, as on a machine that is short of processor
   * time, and resumes it for good afterwards.
   */
  void resumeSlowly(int host, Duration run, Duration pause, int repetitions) throws Exception {
    long pid = processIds[host];
    // A loop of the shell, as the start of a command takes longer than the shortest run times.
    long spins = run.toNanos() * SPINS_PER_MILLI / 1_000_000;
    String script =
        """
        i=0
        while [ $i -lt %d ]; do
          kill -CONT %d
          j=0; while [ $j -lt %d ]; do j=$((j+1)); done
          kill -STOP %d
          sleep %s
          i=$((i+1))
        done
        kill -CONT %d
        """
            .formatted(repetitions, pid, spins, pid, seconds(pause), pid);
    new ProcessBuilder("sh", "-c", script).inheritIO().start().waitFor();
  }

  private static String seconds(Duration duration) {
    return "%.6f".formatted(duration.toNanos() / 1e9);
  }

  private static Set<Long> children() {
    return ProcessHandle.current()
        .children()
        .map(ProcessHandle::pid)
        .collect(Collectors.toCollection(HashSet::new));
  }

  /** Returns the control host that became leader in the highest term, by the logs. */
  Optional<Integer> leader() throws IOException {
    long highestTerm = 0;
    Optional<Integer> leader = Optional.empty();
    for (int host = 0; host < CONTROL_HOSTS; host++) {
      for (String line : log(host)) {
        Matcher matcher = LEADING.matcher(line);
        if (matcher.find() && Long.parseLong(matcher.group(1)) > highestTerm) {
          highestTerm = Long.parseLong(matcher.group(1));
          leader = Optional.of(host);
        }
      }
    }
    return leader;
  }

  private List<String> log(int host) throws IOException {
    return Files.readAllLines(folder.resolve(name(host) + ".log"), StandardCharsets.ISO_8859_1);
  }

  /** Returns the lines since the last call that tell the causes of a wrong refusal apart. */
  List<String> newEvidence() throws IOException {
    List<String> evidence = new ArrayList<>();
    for (int host = 0; host < HOSTS; host++) {
      List<String> lines = log(host);
      for (String line : lines.subList(readLines.getOrDefault(host, 0), lines.size())) {
        if (EVIDENCE.matcher(line).find() || confirmsMoreThanInForce(line)) {
          evidence.add(name(host) + ": " + line);
        }
      }
      readLines.put(host, lines.size());
    }
    return evidence;
  }

  private static boolean confirmsMoreThanInForce(String line) {
    Matcher matcher = CONFIRMATION.matcher(line);
    return matcher.find() && Long.parseLong(matcher.group(2)) < Long.parseLong(matcher.group(1));
  }

  Optional<Response> replace(int host, OperatorChange change) {
    return exchange(ports[host][OPERATOR], "POST", "/api/Config.Replace", change.json());
  }

  Optional<Response> heartbeat(int host, String server, String body) {
    return exchange(ports[host][OPERATOR], "POST", "/api/Instances.Heartbeat/" + server, body);
  }

  /** Fetches the configuration from a control host. */
  Optional<Response> fetch(int host) {
    return exchange(ports[host][OPERATOR], "GET", "/api/Config.Fetch", "");
  }

  /** Sends a request on a new connection; empty without a response within the timeout. */
  private static Optional<Response> exchange(int port, String method, String path, String body) {
    byte[] content = body.getBytes(StandardCharsets.UTF_8);
    String head =
        ("%s %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                + "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n")
            .formatted(method, path, content.length);
    try (Socket socket = connect(port, OPERATOR_TIMEOUT)) {
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().write(content);
      String response =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      return parse(response);
    } catch (IOException noResponse) {
      return Optional.empty();
    }
  }

  private static Socket connect(int port, Duration timeout) throws IOException {
    Socket socket = new Socket();
    socket.connect(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), port), (int) timeout.toMillis());
    socket.setSoTimeout((int) timeout.toMillis());
    return socket;
  }

  private static Optional<Response> parse(String response) {
    int headEnd = response.indexOf("\r\n\r\n");
    if (headEnd < 0) {
      return Optional.empty();
    }
    int status = Integer.parseInt(response.split(" ", 3)[1]);
    return Optional.of(new Response(status, response.substring(headEnd + 4)));
  }

  /** Opens a session and returns the first line of the response; empty without one. */
  Optional<String> openSession(int host, String database, Duration timeout) {
    try (Socket socket = connect(ports[host][CALLER], timeout)) {
      socket
          .getOutputStream()
          .write(("START " + database + " me\r\n").getBytes(StandardCharsets.ISO_8859_1));
      return Optional.ofNullable(
          new BufferedReader(
                  new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1))
              .readLine());
    } catch (IOException noResponse) {
      return Optional.empty();
    }
  }

  /** A session that stays open. */
  static final class HeldSession implements AutoCloseable {
    private final Socket socket;
    private final BufferedReader reader;

    private HeldSession(Socket socket) throws IOException {
      this.socket = socket;
      reader =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    private void send(String line) throws IOException {
      socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    private String readLine() throws IOException {
      return Optional.ofNullable(reader.readLine()).orElseThrow(EOFException::new);
    }

    /** Begins a transaction, and rolls it back; returns the first line of the response. */
    String beginAndRollBack() throws IOException {
      send("QUERY 1 BEGIN READ");
      String answer = readLine();
      readLine();
      if (answer.startsWith("COMPLETE")) {
        send("QUERY 2 ROLLBACK");
        readLine();
        readLine();
      }
      return answer;
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /**
   * Opens a session that stays open.
   *
   * @throws IOException if the host does not open it
   */
  HeldSession holdSession(int host, String database, Duration timeout) throws IOException {
    Socket socket = connect(ports[host][CALLER], timeout);
    try {
      HeldSession session = new HeldSession(socket);
      session.send("START " + database + " me");
      if (!session.readLine().startsWith("READY")) {
        throw new IOException("the host does not open the session");
      }
      return session;
    } catch (IOException failure) {
      socket.close();
      throw failure;
    }
  }

  /** Copies the logs to a folder that outlives the test. */
  void copyLogs(Path target) throws IOException {
    Files.createDirectories(target);
    for (int host = 0; host < HOSTS; host++) {
      Files.writeString(
          target.resolve(name(host) + ".log"),
          String.join("\n", log(host)),
          StandardCharsets.ISO_8859_1);
    }
  }

  @Override
  public void close() {
    IntStream.range(0, HOSTS).forEach(this::resume);
    processes.close();
  }

  static void sleep(Duration duration) {
    try {
      TimeUnit.NANOSECONDS.sleep(duration.toNanos());
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new UncheckedIOException(new IOException(interrupted));
    }
  }
}
