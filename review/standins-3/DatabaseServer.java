import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A server of a database group that speaks the wire protocol on a loopback address, and sends its
 * heartbeats.
 */
final class DatabaseServer implements AutoCloseable {
  private static final int HEARTBEAT_MILLIS = 1_200;
  private static final int BEAT_TICK_MILLIS = 20;
  private static final AtomicLong PROOFS = new AtomicLong();

  /** Receives each statement of a requester that arrives. */
  interface Arrivals {
    void arrived(DatabaseServer server, String id, String text);
  }

  final String id;
  private final DatabaseGroup group;
  private final String zone;
  private final int workMillis;
  private final Record record;
  private final Arrivals arrivals;
  private final List<InetSocketAddress> controls;
  private final ServerSocket listener;
  private final long bornMillis = System.currentTimeMillis();
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final AtomicInteger sequence = new AtomicInteger();
  private volatile boolean draining;
  private volatile boolean closed;
  private volatile long drainConfirmedMillis = -1;
  private volatile long firstConfirmedMillis = -1;
  private volatile long lastConfirmedMillis = -1;

  /** How a server starts. */
  enum Start {
    PRIMARY,
    /** With nothing of before. */
    REPLICA,
    /** With the log that a server with this id had. */
    WITH_ITS_LOG
  }

  /**
   * Starts a server; it counts as a member of its group from now on.
   *
   * @param port the port, or 0 for a free one
   */
  DatabaseServer(
      String id,
      DatabaseGroup group,
      Start start,
      String zone,
      String ip,
      int port,
      int workMillis,
      List<InetSocketAddress> controls,
      Record record,
      Arrivals arrivals)
      throws IOException {
    this.id = id;
    this.group = group;
    this.zone = zone;
    this.workMillis = workMillis;
    this.controls = controls;
    this.record = record;
    this.arrivals = arrivals;
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 200);
    if (start == Start.WITH_ITS_LOG) {
      group.restart(id);
    } else {
      group.add(id, start == Start.PRIMARY);
    }
    daemon(this::accept);
    daemon(this::sendHeartbeats);
    record.line("server %s of %s started at %s", id, group.name, address());
  }

  String zone() {
    return zone;
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  /** Ends at once, without a word to anybody. */
  void crash() throws IOException {
    record.line("server %s crashes at %s", id, group.position(id));
    group.remove(id);
    close();
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  /** Reports from now on that this server leaves; it goes on serving. */
  void drain() {
    draining = true;
  }

  /** Returns when a host confirmed that this server leaves; -1 if none has. */
  long drainConfirmedMillis() {
    return drainConfirmedMillis;
  }

  /** Returns when a host confirmed the first heartbeat of this server; -1 if none has. */
  long firstConfirmedMillis() {
    return firstConfirmedMillis;
  }

  /** Returns when a host confirmed the last heartbeat of this server; -1 if none has. */
  long lastConfirmedMillis() {
    return lastConfirmedMillis;
  }

  private void sendHeartbeats() {
    String lastState = "";
    long nextMillis = 0;
    while (!closed) {
      String role = group.isPrimary(id) ? "primary" : "replica";
      String state = (draining ? "draining " : "ready ") + role;
      if (!state.equals(lastState) || record.nowMillis() >= nextMillis) {
        boolean wasDraining = draining;
        Optional<InetSocketAddress> confirmed =
            Http.post(controls, "/api/Instances.Heartbeat/" + id, heartbeat());
        if (confirmed.isPresent()) {
          recordConfirmed(wasDraining, confirmed.get());
          lastState = state;
          lastConfirmedMillis = record.nowMillis();
          nextMillis = record.nowMillis() + HEARTBEAT_MILLIS;
        }
      }
      pause(BEAT_TICK_MILLIS);
    }
  }

  private void recordConfirmed(boolean wasDraining, InetSocketAddress host) {
    if (firstConfirmedMillis < 0) {
      firstConfirmedMillis = record.nowMillis();
      record.line("server %s: first heartbeat confirmed by %s", id, host);
    }
    if (wasDraining && drainConfirmedMillis < 0) {
      drainConfirmedMillis = record.nowMillis();
      record.line("server %s: draining confirmed by %s", id, host);
    }
  }

  private String heartbeat() {
    return ("{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"v1\","
            + "\"slots\":5,\"state\":\"%s\",\"cold_remaining_ms\":0,\"db_role\":\"%s\","
            + "\"seq_no\":%d,\"born\":%d}")
        .formatted(
            group.name,
            listener.getInetAddress().getHostAddress(),
            listener.getLocalPort(),
            zone,
            draining ? "draining" : "ready",
            group.isPrimary(id) ? "primary" : "replica",
            sequence.incrementAndGet(),
            bornMillis);
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        daemon(() -> serve(socket));
      } catch (IOException ended) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      new Session(socket).run();
    } catch (IOException | RuntimeException ended) {
      // The peer has closed the connection, or this server ends.
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } finally {
      sockets.remove(socket);
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  /** One connection. A connection that is closed rolls back. */
  private final class Session {
    private final BufferedReader in;
    private final OutputStream out;
    private final Map<String, String> values = new TreeMap<>();
    private final Map<String, String> prepared = new TreeMap<>();
    private char state = 'I';
    private boolean plain;
    private int termOfTransaction;
    private String lastWrite;
    private final StringBuilder reply = new StringBuilder();

    Session(Socket socket) throws IOException {
      in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      out = socket.getOutputStream();
    }

    void run() throws IOException, InterruptedException {
      String start = in.readLine();
      if (start == null) {
        return;
      }
      String[] fields = start.split(" ");
      boolean mine = fields[0].equals("START") && fields[1].equals(group.name);
      if (!mine || fields.length > 3 && !fields[3].equals(id)) {
        out.write("ERROR MISROUTED another server\r\n".getBytes(StandardCharsets.ISO_8859_1));
        return;
      }
      ready();
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (line.equals("TERM")) {
          return;
        }
        String[] query = line.split(" ", 3);
        if (!query[1].equals("-")) {
          arrivals.arrived(DatabaseServer.this, query[1], query[2]);
        }
        statement(query[1], query[2]);
        ready();
      }
    }

    private void ready() throws IOException {
      reply.append("READY ").append(state).append(' ').append(group.position(id)).append("\r\n");
      out.write(reply.toString().getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
      reply.setLength(0);
    }

    private void complete(boolean proof) {
      String mac = proof ? "%s.%x.%x".formatted(id, bornMillis, PROOFS.incrementAndGet()) : "-";
      reply.append("COMPLETE ").append(mac).append("\r\n");
    }

    private void error(String code) {
      reply.append("ERROR ").append(code).append(' ').append(id).append("\r\n");
      state = state == 'T' ? 'E' : state;
    }

    private void statement(String requestId, String text) throws InterruptedException {
      String rest = text;
      if (rest.startsWith("AFTER ")) {
        String[] after = rest.split(" ", 3);
        if (!group.holds(id, after[1])) {
          error("LAGGING");
          return;
        }
        rest = after[2];
      }
      String[] words = rest.split(" ");
      boolean ends = words[0].equals("COMMIT") || words[0].equals("ROLLBACK");
      if (state == 'E' && !ends) {
        error("MALFORMED");
        return;
      }
      switch (words[0]) {
        case "BEGIN" -> begin(words.length > 1);
        case "COMMIT" -> commit(requestId);
        case "ROLLBACK" -> {
          end();
          complete(false);
        }
        case "READ" -> read(words[1]);
        case "WRITE" -> write(requestId);
        case "SET" -> {
          values.put(words[1], rest.substring(rest.indexOf(words[1]) + words[1].length() + 1));
          complete(false);
        }
        case "PREPARE" -> {
          prepared.put(words[1], words[2]);
          complete(false);
        }
        case "EXECUTE" -> execute(requestId, words);
        case "DEALLOC" -> {
          prepared.remove(words[1]);
          complete(false);
        }
        case "RESET" -> {
          values.clear();
          prepared.clear();
          complete(false);
        }
        case "STATUS" -> status();
        case "PAUSE" -> {
          group.pause(id, Long.parseLong(words[1]));
          record.line("server %s paused at %s", id, group.position(id));
          status();
        }
        case "RESUME" -> {
          group.resume(id);
          status();
        }
        default -> error("MALFORMED");
      }
    }

    private void begin(boolean readOnly) {
      if (!readOnly && !group.isPrimary(id)) {
        error("READONLY");
        return;
      }
      plain = !readOnly;
      termOfTransaction = group.term();
      state = 'T';
      complete(false);
    }

    private void end() {
      state = 'I';
      lastWrite = null;
      plain = false;
    }

    /** Returns whether a plain transaction has lost its primary. */
    private boolean leadLost() {
      return state == 'T'
          && plain
          && (!group.isPrimary(id) || group.term() != termOfTransaction);
    }

    private void read(String item) {
      if (leadLost()) {
        error("READONLY");
        return;
      }
      pause(workMillis);
      reply.append("ROW ").append(item).append("\r\n");
      complete(true);
    }

    private void write(String requestId) throws InterruptedException {
      if (!group.isPrimary(id) || leadLost() || state == 'T' && !plain) {
        error("READONLY");
        return;
      }
      pause(workMillis);
      if (state == 'T') {
        lastWrite = requestId;
        complete(true);
        return;
      }
      finishCommit(requestId);
    }

    private void commit(String requestId) throws InterruptedException {
      if (state == 'E') {
        end();
        reply.append("ERROR ABORTED ").append(id).append("\r\n");
        return;
      }
      boolean wrote = lastWrite != null;
      if (wrote && leadLost()) {
        end();
        reply.append("ERROR READONLY ").append(id).append("\r\n");
        return;
      }
      pause(workMillis);
      end();
      if (wrote) {
        finishCommit(requestId);
      } else {
        complete(true);
      }
    }

    private void finishCommit(String requestId) throws InterruptedException {
      if (group.commit(id, requestId, record.nowMillis()) == DatabaseGroup.Outcome.ACKNOWLEDGED) {
        complete(true);
      } else {
        reply.append("ERROR READONLY ").append(id).append("\r\n");
      }
    }

    private void execute(String requestId, String[] words) throws InterruptedException {
      String kind = prepared.get(words[1]);
      if (kind == null) {
        error("NOSTMT");
      } else if (kind.equals("READ")) {
        read(words[2]);
      } else {
        write(requestId);
      }
    }

    private void status() {
      String role = group.isPrimary(id) ? "primary" : "replica";
      reply.append(
          "ROW %s %d %s 0 0 0 %d\r\n"
              .formatted(role, group.term(), group.position(id), sockets.size()));
      complete(false);
    }
  }
}
