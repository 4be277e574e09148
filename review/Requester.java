import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** One requester's session on a host. */
final class Requester implements AutoCloseable {
  private static final int TIMEOUT_MILLIS = 3_000;
  private static final AtomicLong LAST_ID = new AtomicLong();

  final String name;
  private final RunRecord record;
  private final Socket socket = new Socket();
  private final InputStream in;

  /**
   * The answer to one statement.
   *
   * @param id the id under which the statement was sent
   * @param mac the server's MAC, or "-"; empty after an error
   * @param code the code of the error; empty after a success
   */
  record Reply(String id, List<String> rows, String mac, String code, String state) {
    boolean succeeded() {
      return code.isEmpty();
    }
  }

  /** Opens a session on a host's address for requesters. */
  Requester(String name, String host, String database, RunRecord record) throws IOException {
    this.name = name;
    this.record = record;
    String[] address = host.split(":");
    socket.connect(
        new InetSocketAddress(address[0], Integer.parseInt(address[1])), TIMEOUT_MILLIS);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
    write("START " + database + " " + name + "\r\n");
    String answer = readLine();
    if (!answer.startsWith("READY")) {
      socket.close();
      throw new IOException("session refused: " + answer);
    }
  }

  static String nextId() {
    return "q" + LAST_ID.incrementAndGet();
  }

  Reply run(String text) throws IOException {
    return run(nextId(), text);
  }

  Reply run(String id, String text) throws IOException {
    record.add("sent", name, id, text);
    write("QUERY " + id + " " + text + "\r\n");
    Reply reply = read(id);
    record.add("answered", name, reply);
    return reply;
  }

  private Reply read(String id) throws IOException {
    List<String> rows = new ArrayList<>();
    String mac = "";
    String code = "";
    while (true) {
      String line = readLine();
      String[] words = line.split(" ", 3);
      switch (words[0]) {
        case "ROW" -> rows.add(line.substring("ROW ".length()));
        case "COMPLETE" -> mac = words[1];
        case "ERROR" -> code = words[1];
        case "READY" -> {
          return new Reply(id, rows, mac, code, words[1]);
        }
        default -> throw new IOException("unexpected message " + line);
      }
    }
  }

  private void write(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private String readLine() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int last = -1;
    while (true) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("the session was closed");
      }
      if (last == '\r' && next == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.substring(0, text.length() - 1);
      }
      line.write(next);
      last = next;
    }
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException ignored) {
      // The socket is closed in any case.
    }
  }
}
