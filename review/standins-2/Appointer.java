import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The provider's service for promotions, over plain sockets so that it may leave a call open. */
final class Appointer implements AutoCloseable {
  private static final Pattern FIELD = Pattern.compile("\"(service|id)\"\\s*:\\s*\"([^\"]*)\"");

  /** A call for a promotion. */
  record Call(String holder, long token, String service, String server) {}

  /** Decides what happens to a call. */
  interface Handler {
    /** Returns the status to answer, or 0 to close the connection without an answer. */
    int handle(Call call) throws InterruptedException;
  }

  private final ServerSocket socket;
  private final Handler handler;

  Appointer(Handler handler) throws IOException {
    this.handler = handler;
    socket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    Thread thread = new Thread(this::accept, "appointer");
    thread.setDaemon(true);
    thread.start();
  }

  int port() {
    return socket.getLocalPort();
  }

  private void accept() {
    while (!socket.isClosed()) {
      try {
        Socket caller = socket.accept();
        Thread thread = new Thread(() -> serve(caller), "appointer-call");
        thread.setDaemon(true);
        thread.start();
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Socket caller) {
    try (caller) {
      while (true) {
        Call call = read(caller.getInputStream());
        if (call == null) {
          return;
        }
        int status = handler.handle(call);
        if (status == 0) {
          return;
        }
        String answer = "HTTP/1.1 " + status + " x\r\nContent-Length: 0\r\n\r\n";
        caller.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
      }
    } catch (IOException | InterruptedException ended) {
      // The caller has closed the connection.
    }
  }

  private static Call read(InputStream in) throws IOException {
    Map<String, String> headers = new HashMap<>();
    String first = readLine(in);
    if (first == null) {
      return null;
    }
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
    Map<String, String> fields = new HashMap<>();
    for (Matcher field = FIELD.matcher(body); field.find(); ) {
      fields.put(field.group(1), field.group(2));
    }
    return new Call(
        headers.get("x-alderyard-duty-holder"),
        Long.parseLong(headers.get("x-alderyard-fencing-token")),
        fields.get("service"),
        fields.get("id"));
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        return null;
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
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
