import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with the time since the start. */
final class Record {
  private static final int MAX_LINE_CHARS = 240;

  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.ISO_8859_1));
  }

  synchronized void add(String format, Object... arguments) {
    String text = String.format(format, arguments);
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    String bounded = text.length() > MAX_LINE_CHARS ? text.substring(0, MAX_LINE_CHARS) : text;
    out.printf("%8.3f %s%n", seconds, bounded);
    out.flush();
  }
}
