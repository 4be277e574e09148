import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A requester with one session: sends a statement and waits for its complete answer. */
final class Caller implements AutoCloseable {
  private static final AtomicLong IDS = new AtomicLong(0x1000);
  private static final int CONNECT_MILLIS = 2_000;

  private final Socket socket = new Socket();
  private final BufferedReader in;

  Caller(InetSocketAddress host, String database, int timeoutMillis) throws IOException {
    socket.connect(host, CONNECT_MILLIS);
    socket.setSoTimeout(timeoutMillis);
    socket.setTcpNoDelay(true);
    in =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    send("START " + database + " u1");
    String answer = in.readLine();
    if (answer == null || !answer.startsWith("READY")) {
      throw new IOException("session not opened: " + answer);
    }
  }

  /**
   * The answer to one statement.
   *
   * @param error the code and text of a refusal, or null
   * @param mac the MAC of a success, or null
   * @param rows the rows of a success
   */
  record Answer(String error, String mac, List<String> rows) {
    boolean succeeded() {
      return error == null && mac != null;
    }

    @Override
    public String toString() {
      return error == null ? "COMPLETE " + mac : "ERROR " + error;
    }
  }

  static String nextId() {
    return String.format("%016x", IDS.incrementAndGet() * 0x9E3779B97F4A7C15L);
  }

  /** Runs one statement. */
  Answer run(String id, String text) throws IOException {
    send("QUERY " + id + " " + text);
    String error = null;
    String mac = null;
    List<String> rows = new ArrayList<>();
    while (true) {
      String line = in.readLine();
      if (line == null) {
        throw new IOException("the connection was closed without an answer");
      }
      if (line.startsWith("ROW")) {
        rows.add(line.length() > 4 ? line.substring(4) : "");
      } else if (line.startsWith("COMPLETE ")) {
        mac = line.substring(9);
      } else if (line.startsWith("ERROR ")) {
        error = line.substring(6);
      } else if (line.startsWith("READY ")) {
        return new Answer(error, mac, rows);
      }
    }
  }

  private void send(String line) throws IOException {
    socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException ignored) {
      // Nothing is left to release.
    }
  }
}
