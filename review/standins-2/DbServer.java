import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A server of a service, which speaks the wire of the users' page. Its log and its role belong to
 * {@link DbGroup}, whose lock guards them.
 */
final class DbServer {
  private final DbGroup group;
  private final String id;
  private final String zone;
  private final int port;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile ServerSocket listener;
  private volatile boolean running;
  private volatile long bornMillis = System.currentTimeMillis();

  // Guarded by the group.
  final List<DbGroup.Entry> log = new ArrayList<>();
  long pausedTerm;

  DbServer(DbGroup group, String id, String zone) throws IOException {
    this.group = group;
    this.id = id;
    this.zone = zone;
    listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    port = listener.getLocalPort();
    serve();
  }

  String id() {
    return id;
  }

  String zone() {
    return zone;
  }

  int port() {
    return port;
  }

  long bornMillis() {
    return bornMillis;
  }

  boolean isRunning() {
    return running;
  }

  private void serve() {
    running = true;
    ServerSocket current = listener;
    Thread thread =
        new Thread(
            () -> {
              while (!current.isClosed()) {
                try {
                  Socket socket = current.accept();
                  sockets.add(socket);
                  Thread session = new Thread(() -> session(socket), id + "-session");
                  session.setDaemon(true);
                  session.start();
                } catch (IOException closed) {
                  return;
                }
              }
            },
            id + "-accept");
    thread.setDaemon(true);
    thread.start();
  }

  /** Ends the process of the server; its connections break. */
  void crash() throws IOException {
    running = false;
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
    sockets.clear();
  }

  /** Starts the server again at its address, with its log, or with nothing of before. */
  void start(boolean withLog) throws IOException {
    synchronized (group) {
      if (!withLog) {
        log.clear();
        pausedTerm = 0;
      }
    }
    bornMillis = System.currentTimeMillis();
    ServerSocket again = new ServerSocket();
    again.setReuseAddress(true);
    again.bind(new InetSocketAddress("127.0.0.1", port), 200);
    listener = again;
    serve();
  }

  private void session(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      String first = in.readLine();
      if (first == null) {
        return;
      }
      String[] start = first.split(" ");
      boolean forThis =
          start.length >= 2
              && start[0].equals("START")
              && start[1].equals(group.service())
              && (start.length < 4 || start[3].equals(id));
      if (!forThis) {
        write(socket, "ERROR MISROUTED " + id + "\r\n");
        return;
      }
      write(socket, "READY I " + group.position(this) + "\r\n");
      Session session = new Session();
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        String[] message = line.split(" ", 3);
        if (!message[0].equals("QUERY")) {
          return;
        }
        String answer = session.run(message[1], message[2]);
        if (answer == null || !running) {
          return;
        }
        write(socket, answer);
      }
    } catch (IOException | InterruptedException ended) {
      // The connection is closed; an open transaction has kept nothing.
    } finally {
      sockets.remove(socket);
    }
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** The state of one connection. */
  private final class Session {
    private String state = "I";
    private boolean readOnly;
    private List<String> writes = new ArrayList<>();
    private final Map<String, String> prepared = new HashMap<>();

    /** Returns the whole answer, or null if the connection is to be closed without one. */
    String run(String requestId, String text) throws InterruptedException {
      String statement = text;
      if (text.startsWith("AFTER ")) {
        String[] parts = text.split(" ", 3);
        statement = parts[2];
        if (!group.holds(DbServer.this, parts[1])) {
          return error("LAGGING behind");
        }
      }
      String word = statement.split(" ", 2)[0];
      boolean ends = word.equals("COMMIT") || word.equals("ROLLBACK");
      if (state.equals("E") && !ends) {
        return error("MALFORMED the transaction has failed");
      }
      return switch (word) {
        case "BEGIN" -> begin(statement);
        case "COMMIT" -> commit(requestId);
        case "ROLLBACK" -> {
          state = "I";
          yield done("-");
        }
        case "SET", "DEALLOC" -> done("-");
        case "PREPARE" -> {
          String[] parts = statement.split(" ", 4);
          prepared.put(parts[1], parts[2]);
          yield done("-");
        }
        case "RESET" -> {
          prepared.clear();
          yield done("-");
        }
        case "READ" -> read(requestId);
        case "WRITE" -> write(requestId);
        case "EXECUTE" -> execute(requestId, statement);
        case "STATUS" -> status();
        case "PAUSE" -> {
          group.pause(DbServer.this, Long.parseLong(statement.split(" ")[1]));
          yield status();
        }
        case "RESUME" -> {
          group.pause(DbServer.this, 0);
          yield status();
        }
        default -> error("MALFORMED unknown statement");
      };
    }

    private String begin(String statement) {
      readOnly = statement.endsWith(" READ");
      if (!readOnly && !group.isPrimary(DbServer.this)) {
        return error("READONLY " + id);
      }
      state = "T";
      writes = new ArrayList<>();
      return done("-");
    }

    private String execute(String requestId, String statement) throws InterruptedException {
      String kind = prepared.get(statement.split(" ")[1]);
      if (kind == null) {
        return error("NOSTMT unknown name");
      }
      return kind.equals("WRITE") ? write(requestId) : read(requestId);
    }

    private String read(String requestId) {
      if (state.equals("T") && !readOnly && !group.isPrimary(DbServer.this)) {
        state = "E";
        return error("READONLY " + id);
      }
      return "ROW r" + requestId + "\r\n" + done(mac(requestId));
    }

    private String write(String requestId) throws InterruptedException {
      if (!group.isPrimary(DbServer.this)) {
        state = state.equals("I") ? "I" : "E";
        return error("READONLY " + id);
      }
      writes.add(requestId);
      if (state.equals("T")) {
        return done(mac(requestId));
      }
      return commitWrites(requestId);
    }

    private String commit(String requestId) throws InterruptedException {
      boolean failed = state.equals("E");
      state = "I";
      if (failed) {
        return error("ABORTED the transaction has failed");
      }
      return writes.isEmpty() ? done(mac(requestId)) : commitWrites(requestId);
    }

    private String commitWrites(String requestId) throws InterruptedException {
      List<String> committed = writes;
      writes = new ArrayList<>();
      return switch (group.commit(DbServer.this, committed)) {
        case ACKNOWLEDGED -> done(mac(requestId));
        case NOT_PRIMARY -> error("READONLY " + id);
        case UNANSWERED -> null;
      };
    }

    private String status() {
      return "ROW " + group.status(DbServer.this, sockets.size()) + "\r\n" + done("-");
    }

    private String mac(String requestId) {
      return Integer.toHexString((requestId + id).hashCode()) + ".1";
    }

    private String done(String mac) {
      return "COMPLETE " + mac + "\r\nREADY " + state + " " + group.position(DbServer.this) + "\r\n";
    }

    private String error(String codeAndText) {
      if (state.equals("T") && !codeAndText.startsWith("LAGGING")) {
        state = "E";
      }
      return "ERROR "
          + codeAndText
          + "\r\nREADY "
          + state
          + " "
          + group.position(DbServer.this)
          + "\r\n";
    }
  }
}
