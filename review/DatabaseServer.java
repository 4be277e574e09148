import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in of one database server: speaks the wire protocol of PROTOCOL.md on a loopback port.
 *
 * <p>The log is guarded by the monitor of the group.
 */
final class DatabaseServer implements AutoCloseable {
  private static final int MAX_MESSAGE_BYTES = 1 << 20;
  private static final long CONNECT_MILLIS = 12;

  final String id;
  final String zone;
  final long born = System.currentTimeMillis();
  private final DatabaseGroup group;
  private final ServerSocket listener;
  private final long readMillis;
  private final long writeMillis;
  private final Semaphore slots;
  private final AtomicInteger connections = new AtomicInteger();
  private final AtomicInteger lastConnection = new AtomicInteger();
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final List<Run> runs = new ArrayList<>();
  private volatile boolean running = true;
  private volatile boolean draining;
  private volatile boolean partitioned;
  private volatile boolean deaf;
  private volatile boolean demoted;
  // Guarded by the group.
  private final List<DatabaseGroup.Entry> log = new ArrayList<>();
  private final List<Long> receivedNanos = new ArrayList<>();
  private final Set<String> acknowledged = new HashSet<>();
  private int applied;
  private boolean paused;

  /**
   * A statement of a requester that this server ran.
   *
   * @param connection the server's connection on which it ran
   */
  record Run(String id, String text, String connection, Map<String, String> values) {}

  DatabaseServer(DatabaseGroup group, String id, String zone, long readMillis, long writeMillis)
      throws IOException {
    this.group = group;
    this.id = id;
    this.zone = zone;
    this.readMillis = readMillis;
    this.writeMillis = writeMillis;
    slots = new Semaphore(group.slots);
    listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    group.add(this);
    daemon(this::acceptAll);
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    InetSocketAddress bound = (InetSocketAddress) listener.getLocalSocketAddress();
    return "127.0.0.1:" + bound.getPort();
  }

  boolean running() {
    return running;
  }

  boolean draining() {
    return draining;
  }

  boolean partitioned() {
    return partitioned;
  }

  boolean seesItselfLeading() {
    return group.leads(this) && !demoted;
  }

  void setDemoted(boolean value) {
    demoted = value;
  }

  /** Ends the process: its connections break and nothing listens. */
  void crash() {
    running = false;
    group.record.say("server-crashes", id);
    close();
  }

  void setDraining(boolean value) {
    draining = value;
    group.record.say("server-drains", id);
  }

  /** Receives no commits for some time. */
  void deafFor(long millis) {
    deaf = true;
    group.record.say("replica-deaf", id, "for", millis, "ms, received", received());
    group.schedule(
        millis,
        () -> {
          deaf = false;
          group.record.say("replica-hears", id);
        });
  }

  /** Cuts the server off from all hosts; bytes on their way arrive afterwards. */
  void partitionFor(long millis) {
    partitioned = true;
    group.record.say("server-cut-off", id, "for", millis, "ms");
    group.schedule(
        millis,
        () -> {
          partitioned = false;
          group.record.say("server-reachable", id);
        });
  }

  boolean receives() {
    return !deaf && !paused;
  }

  List<Run> runs() {
    synchronized (runs) {
      return List.copyOf(runs);
    }
  }

  // The log; callers hold the monitor of the group.

  List<DatabaseGroup.Entry> log() {
    return log;
  }

  Set<String> acknowledged() {
    return acknowledged;
  }

  void append(DatabaseGroup.Entry entry) {
    log.add(entry);
    receivedNanos.add(System.nanoTime());
    applied = log.size();
  }

  void acknowledge(String statement) {
    acknowledged.add(statement);
  }

  void receive(List<DatabaseGroup.Entry> from, long sentBeforeNanos, long now) {
    while (log.size() < from.size() && from.get(log.size()).committedNanos() <= sentBeforeNanos) {
      log.add(from.get(log.size()));
      receivedNanos.add(now);
    }
  }

  void apply(long receivedBeforeNanos) {
    while (applied < log.size() && receivedNanos.get(applied) <= receivedBeforeNanos) {
      applied++;
    }
  }

  boolean holds(DatabaseGroup.Entry entry) {
    return log.contains(entry);
  }

  void truncateTo(List<DatabaseGroup.Entry> other) {
    int common = 0;
    while (common < Math.min(log.size(), other.size())
        && log.get(common).equals(other.get(common))) {
      common++;
    }
    while (log.size() > common) {
      log.remove(log.size() - 1);
      receivedNanos.remove(receivedNanos.size() - 1);
    }
    applied = Math.min(applied, log.size());
  }

  void resume() {
    paused = false;
    demoted = false;
  }

  String received() {
    synchronized (group) {
      return log.isEmpty() ? "1.0" : log.get(log.size() - 1).position();
    }
  }

  private String shown() {
    synchronized (group) {
      return applied == 0 ? "1.0" : log.get(applied - 1).position();
    }
  }

  private boolean shows(String position) {
    String[] wanted = position.split("\\.");
    String[] held = shown().split("\\.");
    int byTerm = Long.compare(Long.parseLong(held[0]), Long.parseLong(wanted[0]));
    return byTerm > 0
        || byTerm == 0 && Long.parseLong(held[1]) >= Long.parseLong(wanted[1]);
  }

  private String read(String item) {
    synchronized (group) {
      for (int i = applied - 1; i >= 0; i--) {
        String data = log.get(i).items().get(item);
        if (data != null) {
          return data;
        }
      }
      return "none";
    }
  }

  private void acceptAll() {
    while (running) {
      try {
        Socket socket = listener.accept();
        sockets.add(socket);
        daemon(() -> new Session(socket).serve());
      } catch (IOException closed) {
        return;
      }
    }
  }

  @Override
  public void close() {
    running = false;
    try {
      listener.close();
      for (Socket socket : sockets) {
        socket.setSoLinger(true, 0);
        socket.close();
      }
    } catch (IOException ignored) {
      // The socket is closed in any case.
    }
  }

  /** One connection from a host. */
  private final class Session {
    private final Socket socket;
    private final String connection = id + "#" + lastConnection.incrementAndGet();
    private final Map<String, String> values = new TreeMap<>();
    private final Map<String, String> prepared = new HashMap<>();
    private final Map<String, String> written = new TreeMap<>();
    private InputStream in;
    private OutputStream out;
    private String state = "I";
    private boolean readOnly;

    Session(Socket socket) {
      this.socket = socket;
    }

    void serve() {
      boolean counted = false;
      try (socket) {
        socket.setTcpNoDelay(true);
        in = socket.getInputStream();
        out = new BufferedOutputStream(socket.getOutputStream());
        String start = readMessage();
        if (start == null) {
          return;
        }
        String[] fields = start.split(" ");
        boolean named = fields.length >= 3 && fields[0].equals("START");
        boolean mine =
            named && fields[1].equals(group.service) && (fields.length < 4 || fields[3].equals(id));
        if (!mine) {
          send("ERROR MISROUTED " + id);
          out.flush();
          return;
        }
        counted = true;
        if (connections.incrementAndGet() > group.maxConnections) {
          send("ERROR TOOMANY " + id);
          out.flush();
          return;
        }
        Thread.sleep(CONNECT_MILLIS);
        ready();
        for (String message = readMessage(); message != null; message = readMessage()) {
          answer(message);
        }
      } catch (IOException | InterruptedException ended) {
        // The connection is over; an open transaction is rolled back.
      } finally {
        sockets.remove(socket);
        if (counted) {
          connections.decrementAndGet();
        }
      }
    }

    /** Reads up to CR LF, the only end of a message; returns null at the end of the stream. */
    private String readMessage() throws IOException, InterruptedException {
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      int last = -1;
      while (line.size() <= MAX_MESSAGE_BYTES) {
        int next = in.read();
        if (next < 0) {
          return null;
        }
        if (last == '\r' && next == '\n') {
          awaitNetwork();
          String text = line.toString(StandardCharsets.ISO_8859_1);
          return text.substring(0, text.length() - 1);
        }
        line.write(next);
        last = next;
      }
      throw new IOException("message too long");
    }

    private void awaitNetwork() throws InterruptedException {
      while (partitioned && running) {
        Thread.sleep(5);
      }
    }

    private void send(String line) throws IOException {
      out.write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    private void ready() throws IOException, InterruptedException {
      send("READY " + state + " " + shown());
      awaitNetwork();
      out.flush();
    }

    private void refuse(String code) throws IOException, InterruptedException {
      send("ERROR " + code + " " + id);
      ready();
    }

    /** Refuses a statement; a transaction fails with it. */
    private void refuseAndFail(String code) throws IOException, InterruptedException {
      state = state.equals("I") ? "I" : "E";
      refuse(code);
    }

    private void complete(String mac) throws IOException, InterruptedException {
      send("COMPLETE " + mac);
      ready();
    }

    private void answer(String message) throws IOException, InterruptedException {
      String[] query = message.split(" ", 3);
      if (query.length < 3 || !query[0].equals("QUERY")) {
        throw new IOException("not a query: " + message);
      }
      String statement = query[1];
      String text = query[2];
      if (text.startsWith("AFTER ")) {
        String[] prefixed = text.split(" ", 3);
        text = prefixed[2];
        if (!shows(prefixed[1])) {
          refuse("LAGGING");
          return;
        }
      }
      if (state.equals("E") && !text.equals("ROLLBACK") && !text.equals("COMMIT")) {
        refuse("MALFORMED");
        return;
      }
      boolean emptyCommit = text.equals("COMMIT") && written.isEmpty();
      boolean lostTheLead = state.equals("T") && !readOnly && !seesItselfLeading();
      if (lostTheLead && !text.equals("ROLLBACK") && !emptyCommit) {
        group.record.add("server-refuses", id, statement, "READONLY", text);
        refuseAndFail("READONLY");
        return;
      }
      run(statement, text);
    }

    private void run(String statement, String text) throws IOException, InterruptedException {
      String[] words = text.split(" ", 4);
      switch (words[0]) {
        case "SET" -> {
          values.put(words[1], text.split(" ", 3)[2]);
          complete("-");
        }
        case "PREPARE" -> {
          prepared.put(words[1], words[2]);
          complete("-");
        }
        case "DEALLOC" -> {
          prepared.remove(words[1]);
          complete("-");
        }
        case "RESET" -> {
          values.clear();
          prepared.clear();
          complete("-");
        }
        case "BEGIN" -> begin(text.equals("BEGIN READ"));
        case "ROLLBACK" -> {
          written.clear();
          state = "I";
          complete("-");
        }
        case "STATUS", "PAUSE", "RESUME", "DEMOTE" -> operate(words);
        case "READ", "WRITE", "EXECUTE", "COMMIT" -> runInSlot(statement, text, words);
        default -> refuseAndFail("MALFORMED");
      }
    }

    private void begin(boolean asReadOnly) throws IOException, InterruptedException {
      if (!asReadOnly && !seesItselfLeading()) {
        refuse("READONLY");
        return;
      }
      readOnly = asReadOnly;
      state = "T";
      complete("-");
    }

    private void operate(String[] words) throws IOException, InterruptedException {
      if (!slots.tryAcquire()) {
        group.record.add("server-refuses", id, "-", "BUSY", words[0]);
        refuse("BUSY");
        return;
      }
      try {
        switch (words[0]) {
          case "PAUSE" -> {
            synchronized (group) {
              paused = !group.leads(DatabaseServer.this) && Long.parseLong(words[1]) > group.term();
            }
          }
          case "RESUME" -> {
            synchronized (group) {
              paused = false;
            }
          }
          case "DEMOTE" -> group.demote(DatabaseServer.this, Long.parseLong(words[1]));
          default -> Thread.sleep(1);
        }
        String role = seesItselfLeading() ? "primary" : "replica";
        int busy = group.slots - slots.availablePermits();
        group.record.add("server-status", id, role, received());
        send(
            "ROW "
                + String.join(
                    " ",
                    role,
                    Long.toString(group.term()),
                    received(),
                    "0",
                    "0",
                    Integer.toString(busy),
                    Integer.toString(connections.get())));
      } finally {
        slots.release();
      }
      complete("-");
    }

    private void runInSlot(String statement, String text, String[] words)
        throws IOException, InterruptedException {
      String kind = words[0];
      if (kind.equals("EXECUTE")) {
        kind = prepared.get(words[1]);
        if (kind == null) {
          group.record.add("server-refuses", id, statement, "NOSTMT", text);
          refuseAndFail("NOSTMT");
          return;
        }
      }
      boolean forbidden =
          kind.equals("WRITE") && (!seesItselfLeading() || state.equals("T") && readOnly);
      if (forbidden) {
        refuseAndFail("READONLY");
        return;
      }
      if (!slots.tryAcquire()) {
        refuse("BUSY");
        return;
      }
      try {
        Thread.sleep(kind.equals("READ") ? readMillis : writeMillis);
        if (!running) {
          throw new IOException("crashed");
        }
        synchronized (runs) {
          runs.add(new Run(statement, text, connection, Map.copyOf(values)));
        }
        group.record.add("server-runs", connection, statement, text, values);
        if (!execute(statement, kind, words)) {
          return;
        }
      } finally {
        slots.release();
      }
      complete(mac(statement));
    }

    private String mac(String statement) {
      return "m." + id + "." + Integer.toHexString(statement.hashCode());
    }

    /** Executes a statement in a slot; returns false if it was answered with a refusal. */
    private boolean execute(String statement, String kind, String[] words)
        throws IOException, InterruptedException {
      boolean prepared = words[0].equals("EXECUTE");
      switch (kind) {
        case "READ" -> {
          String item = words[prepared ? 2 : 1];
          send("ROW " + (written.containsKey(item) ? written.get(item) : read(item)));
          return true;
        }
        case "WRITE" -> {
          String data = String.join(" ", List.of(words).subList(prepared ? 3 : 2, words.length));
          written.put(words[prepared ? 2 : 1], data);
          return state.equals("T") || commit(statement);
        }
        default -> {
          state = "I";
          return written.isEmpty() || commit(statement);
        }
      }
    }

    private boolean commit(String statement) throws IOException, InterruptedException {
      DatabaseGroup.Entry entry = group.commit(DatabaseServer.this, statement, written);
      written.clear();
      if (entry == null) {
        refuse("READONLY");
        return false;
      }
      if (!group.awaitReplicas(DatabaseServer.this, entry)) {
        throw new IOException("the lead was lost before a replica had received the commit");
      }
      return true;
    }
  }
}
