import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

/** One session of a requester over the wire protocol. */
final class Requester implements AutoCloseable {
  private static final int CONNECT_MILLIS = 2_000;

  private final Socket socket = new Socket();
  private final BufferedReader in;
  private final OutputStream out;
  private char state = 'I';

  /** Opens a session; fails unless the host answers that it is ready within 2 s. */
  Requester(InetSocketAddress host, String database) throws IOException {
    try {
      socket.connect(host, CONNECT_MILLIS);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(CONNECT_MILLIS);
      in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      out = socket.getOutputStream();
      send("START " + database);
      String ready = in.readLine();
      if (ready == null || !ready.startsWith("READY ")) {
        throw new IOException("not ready: " + ready);
      }
    } catch (IOException failure) {
      socket.close();
      throw failure;
    }
  }

  /**
   * The answer to one statement.
   *
   * @param id the id of the statement
   * @param proof the server's MAC of a success
   * @param error the code and text of an error
   * @param complete whether the whole answer has arrived
   */
  record Answer(
      String id, List<String> rows, Optional<String> proof, Optional<String> error,
      boolean complete) {
    boolean succeeded() {
      return complete && proof.isPresent();
    }

    String code() {
      return error.map(text -> text.split(" ")[0]).orElse("");
    }
  }

  static String newId() {
    return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
  }

  private void send(String line) throws IOException {
    out.write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Sends a statement and waits for its answer until the time budget ends. */
  Answer run(String id, String text, int budgetMillis) {
    List<String> rows = new ArrayList<>();
    Optional<String> proof = Optional.empty();
    Optional<String> error = Optional.empty();
    try {
      socket.setSoTimeout(budgetMillis);
      send("QUERY " + id + " " + text);
      while (true) {
        String line = in.readLine();
        if (line == null) {
          return new Answer(id, rows, proof, error.or(() -> Optional.of("CLOSED")), false);
        }
        String[] words = line.split(" ", 2);
        switch (words[0]) {
          case "ROW" -> rows.add(words[1]);
          case "COMPLETE" -> proof = Optional.of(words[1]);
          case "ERROR" -> error = Optional.of(words[1]);
          case "READY" -> {
            state = words[1].charAt(0);
            return new Answer(id, rows, proof, error, true);
          }
          default -> {
            return new Answer(id, rows, proof, Optional.of("UNKNOWN " + line), false);
          }
        }
      }
    } catch (IOException failure) {
      return new Answer(id, rows, proof, Optional.of("BROKEN " + failure.getMessage()), false);
    }
  }

  char state() {
    return state;
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException ignored) {
      // The session is over in any case.
    }
  }
}
