import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's service that designates primaries; it checks the fences. */
final class Cloud implements AutoCloseable {
  private final HttpServer server;
  private final Map<String, Long> newestTokens = new TreeMap<>();
  private final Record record;
  private volatile boolean answers = true;

  /** Carries out an accepted call. */
  interface Promotion {
    void promote(String service, String server);
  }

  Cloud(InetSocketAddress address, Record record, long promoteMillis, Promotion promotion)
      throws IOException {
    this.record = record;
    server = HttpServer.create(address, 100);
    server.setExecutor(Executors.newCachedThreadPool(Cloud::daemon));
    server.createContext(
        "/promotion",
        exchange -> {
          String body =
              new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
          String holder = exchange.getRequestHeaders().getFirst("X-Alderyard-Duty-Holder");
          long token =
              Long.parseLong(exchange.getRequestHeaders().getFirst("X-Alderyard-Fencing-Token"));
          String service = field(body, "service");
          String chosen = field(body, "id");
          record.line(
              "promotion called: service %s, server %s, holder %s, token %d%s",
              service, chosen, holder, token, answers ? "" : "; not answered, not carried out");
          if (!answers) {
            return;
          }
          boolean accepted = accept(service, token);
          exchange.sendResponseHeaders(accepted ? 200 : 409, -1);
          exchange.close();
          if (accepted) {
            sleep(promoteMillis);
            promotion.promote(service, chosen);
          }
        });
    server.start();
  }

  /** Makes the service leave calls unanswered, or answer them again. */
  void setAnswers(boolean newAnswers) {
    answers = newAnswers;
    record.line("the service that designates primaries %s", answers ? "answers" : "is down");
  }

  private synchronized boolean accept(String service, long token) {
    boolean accepted = token >= newestTokens.getOrDefault(service, 0L);
    newestTokens.merge(service, token, Math::max);
    return accepted;
  }

  private static String field(String body, String name) {
    Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(body);
    return matcher.find() ? matcher.group(1) : "";
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    return thread;
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
