import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The file with what was sent, answered and run, in the order in which it happened. */
final class RunRecord implements AutoCloseable {
  private final PrintWriter file;
  private final long startNanos = System.nanoTime();

  RunRecord(Path path) throws IOException {
    file = new PrintWriter(Files.newBufferedWriter(path));
  }

  /** Returns the milliseconds since the run started. */
  long nowMillis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void add(String event, Object... fields) {
    StringBuilder line = new StringBuilder();
    line.append(String.format("%7d ms  %-18s", nowMillis(), event));
    for (Object field : fields) {
      line.append(' ').append(String.valueOf(field).replace("\r", "\\r").replace("\n", "\\n"));
    }
    file.println(line);
    file.flush();
  }

  /** Adds a line and prints it. */
  void say(String event, Object... fields) {
    add(event, fields);
    StringBuilder line = new StringBuilder(event);
    for (Object field : fields) {
      line.append(' ').append(field);
    }
    System.out.println(line);
  }

  @Override
  public void close() {
    file.close();
  }
}
