import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** The operator sends many large configurations, and reads back the newest one. */
final class ManyConfigurations extends Scenario {
  private static final int SLOTS = 5;
  private static final int CONNECTIONS = 34;
  private static final long PROMOTE_MILLIS = 300;
  private static final long NETWORK_MILLIS = 2;
  private static final long APPLY_MILLIS = 60;
  private static final long READ_MILLIS = 15;
  private static final long WRITE_MILLIS = 11;

  /** Twice the number of routes of the usual big_config of the small sites. */
  private static final int ROUTES = 700;

  private static final int FEW_ROUTES = 3;
  private static final int CHANGES = 600;
  private static final long GAP_MILLIS = 80;

  /** The pages allow eight. */
  private static final int ORDERS_AT_ONCE = 4;

  private static final long SEND_LIMIT_MILLIS = 60_000;
  private static final long CHANGE_LIMIT_MILLIS = 5_000;
  private static final long QUIET_MILLIS = 3_000;

  /** How long the operator asks for the newest configuration; contact_ms (4 s) at least. */
  private static final long READ_BACK_MILLIS = 12_000;

  public static void main(String[] arguments) throws Exception {
    new ManyConfigurations().execute(arguments);
  }

  @Override
  protected DatabaseGroup createGroup() throws IOException {
    DatabaseGroup created =
        new DatabaseGroup(
            "ledger",
            SLOTS,
            CONNECTIONS,
            0,
            PROMOTE_MILLIS,
            NETWORK_MILLIS,
            APPLY_MILLIS,
            record);
    for (int i = 0; i < 3; i++) {
      new DatabaseServer(created, "s" + (i + 1), "z" + i, READ_MILLIS, WRITE_MILLIS);
    }
    return created;
  }

  @Override
  protected List<String> routes() {
    return routes(1, FEW_ROUTES);
  }

  private List<String> routes(long version, int count) {
    List<String> routes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      routes.add(
          Platform.route(
              "database" + i + "x" + version % 7,
              "read_your_writes",
              group.service,
              ",\"max_staleness_ms\":2500"));
    }
    return routes;
  }

  @Override
  protected int play() throws Exception {
    long acknowledged = sendChanges();
    record.say("newest-acknowledged", acknowledged);
    TimeUnit.MILLISECONDS.sleep(QUIET_MILLIS);
    long readBack = 0;
    int questions = 0;
    long readStart = record.nowMillis();
    while (readBack < acknowledged && record.nowMillis() - readStart < READ_BACK_MILLIS) {
      for (String control : hosts.controls()) {
        long version = platform.fetchVersion(control);
        record.add("read-back", control, version == 0 ? "no answer" : version);
        readBack = Math.max(readBack, version);
        questions++;
      }
      TimeUnit.MILLISECONDS.sleep(200);
    }
    record.say("read-back", readBack, "questions", questions, "all-run", hosts.allRun());
    return readBack < acknowledged ? BROKEN : HELD;
  }

  /** Sends the changes, a few at a time; returns the newest one that was acknowledged. */
  private long sendChanges() throws InterruptedException {
    AtomicLong nextVersion = new AtomicLong(2);
    AtomicLong acknowledged = new AtomicLong(1);
    long endMillis = record.nowMillis() + SEND_LIMIT_MILLIS;
    List<Thread> operators = new ArrayList<>();
    for (int i = 0; i < ORDERS_AT_ONCE; i++) {
      operators.add(
          new Thread(
              () -> {
                while (record.nowMillis() < endMillis) {
                  long version = nextVersion.getAndIncrement();
                  if (version >= 2 + CHANGES) {
                    return;
                  }
                  if (send(version)) {
                    acknowledged.accumulateAndGet(version, Math::max);
                  }
                }
              }));
    }
    operators.forEach(Thread::start);
    for (Thread operator : operators) {
      operator.join();
    }
    return acknowledged.get();
  }

  /** Sends a change again and again until it is acknowledged; returns false if it never is. */
  private boolean send(long version) {
    try {
      List<String> routes = routes(version, trouble ? ROUTES : FEW_ROUTES);
      if (platform.configure(version, routes, record.nowMillis() + CHANGE_LIMIT_MILLIS)) {
        TimeUnit.MILLISECONDS.sleep(GAP_MILLIS);
        return true;
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    record.say("not-acknowledged", version, "within", CHANGE_LIMIT_MILLIS, "ms");
    return false;
  }
}
