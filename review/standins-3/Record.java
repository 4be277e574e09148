import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of one run: one line for each event, with the time since the start. Thread-safe. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Returns the milliseconds since the start of the run. */
  long nowMillis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void line(String format, Object... arguments) {
    out.printf("%8.3f ", nowMillis() / 1000.0);
    out.printf(format, arguments);
    out.println();
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
