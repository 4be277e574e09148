import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A requester changes a session value inside a transaction whose server has lost the lead, because
 * the primary was partitioned from the core for a while; the requester's session continues.
 */
final class ValuesAfterPromotion extends Scenario {
  private static final int SLOTS = 5;
  private static final int CONNECTIONS = 34;
  private static final long PROMOTE_MILLIS = 300;
  private static final long NETWORK_MILLIS = 2;
  private static final long APPLY_MILLIS = 60;
  private static final long READ_MILLIS = 15;
  private static final long WRITE_MILLIS = 11;
  private static final int OTHERS = 6;
  private static final long OTHERS_PAUSE_MILLIS = 50;

  /** Shorter than the 3 s after which a server drops a connection that it cannot reach. */
  private static final long CUT_MILLIS = 2_400;

  /** Pause inside the transaction; shorter than {@code tx_idle_ms}. */
  private static final long TRANSACTION_PAUSE_MILLIS = 2_700;

  private static final int READS = 12;
  private static final long READ_PAUSE_MILLIS = 100;

  private final Set<String> ofSession = ConcurrentHashMap.newKeySet();
  private volatile boolean stopped;

  public static void main(String[] arguments) throws Exception {
    new ValuesAfterPromotion().execute(arguments);
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
    return List.of(
        Platform.route("orders", "primary", group.service, ""),
        Platform.route(
            "parcels", "read_your_writes", group.service, ",\"max_staleness_ms\":2500"));
  }

  @Override
  protected int play() throws Exception {
    List<Thread> others = new ArrayList<>();
    for (int i = 0; i < OTHERS; i++) {
      int number = i;
      others.add(new Thread(() -> write(number)));
    }
    others.forEach(Thread::start);
    TimeUnit.SECONDS.sleep(2);
    int result = playSession();
    stopped = true;
    for (Thread other : others) {
      other.join(5_000);
    }
    return result;
  }

  private int playSession() throws Exception {
    try (Requester session = new Requester("session", hosts.caller(0), "parcels", record)) {
      session.run("SET colour red");
      session.run("BEGIN");
      Requester.Reply first = send(session, "WRITE parcel-1 closed");
      if (!first.succeeded()) {
        record.say("cannot-run", "the transaction was not opened");
        return CANNOT_RUN;
      }
      if (trouble) {
        group.server("s1").partitionFor(CUT_MILLIS);
      }
      TimeUnit.MILLISECONDS.sleep(TRANSACTION_PAUSE_MILLIS);
      if (trouble && group.promotions().isEmpty()) {
        record.say("cannot-run", "no server was promoted");
        return CANNOT_RUN;
      }
      platform.heartbeatNow();
      boolean acknowledged = session.run("SET colour blue").succeeded();
      send(session, "READ parcel-1");
      session.run("ROLLBACK");
      if (!acknowledged) {
        record.say("not-acknowledged", "the change of the value was refused");
        return HELD;
      }
      for (int i = 0; i < READS; i++) {
        TimeUnit.MILLISECONDS.sleep(READ_PAUSE_MILLIS);
        send(session, "READ parcel-" + i);
      }
      return judge(READS);
    }
  }

  private Requester.Reply send(Requester session, String text) throws IOException {
    String id = Requester.nextId();
    ofSession.add(id);
    return session.run(id, text);
  }

  private void write(int number) {
    for (int round = 0; !stopped; round++) {
      String host = hosts.caller((number + round) % 3);
      try (Requester session = new Requester("o" + number, host, "orders", record)) {
        boolean succeeded = true;
        while (!stopped && succeeded) {
          succeeded = session.run("WRITE order-" + number + " d" + round).succeeded();
          TimeUnit.MILLISECONDS.sleep(OTHERS_PAUSE_MILLIS);
        }
      } catch (IOException refused) {
        // The next session goes to another host.
      } catch (InterruptedException interrupted) {
        return;
      }
    }
  }

  /**
   * PINNED: a statement of the session that was sent after the acknowledged change runs where the
   * session values differ from the acknowledged ones.
   */
  private int judge(int sent) {
    Map<String, String> acknowledged = Map.of("colour", "blue");
    int ran = 0;
    int wrong = 0;
    for (DatabaseServer server : group.servers()) {
      for (DatabaseServer.Run run : server.runs()) {
        boolean afterChange =
            ofSession.contains(run.id())
                && Integer.parseInt(run.id().substring(1)) > firstAfterChange();
        if (!afterChange) {
          continue;
        }
        ran++;
        if (!run.values().equals(acknowledged)) {
          wrong++;
          record.say("wrong-values", server.id, run.id(), run.text(), run.values());
        }
      }
    }
    record.say("ran-after-change", ran, "with-wrong-values", wrong, "sent", sent);
    return wrong > 0 ? BROKEN : HELD;
  }

  /** Returns the number of the last statement before the change of the value: the write. */
  private int firstAfterChange() {
    return ofSession.stream().mapToInt(id -> Integer.parseInt(id.substring(1))).min().orElse(0);
  }
}
