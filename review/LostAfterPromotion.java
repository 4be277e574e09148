import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A service with one synchronous replica, whose servers are being replaced: one replica drains, the
 * other one receives nothing for a while, and the primary crashes meanwhile.
 */
final class LostAfterPromotion extends Scenario {
  private static final int SLOTS = 2;
  private static final int CONNECTIONS = 40;
  private static final int SYNC_REPLICAS = 1;
  private static final long PROMOTE_MILLIS = 1_000;
  private static final long NETWORK_MILLIS = 2;
  private static final long APPLY_MILLIS = 20;
  private static final long READ_MILLIS = 15;
  private static final long WRITE_MILLIS = 3;
  private static final int WRITERS = 4;
  private static final int READERS = 6;
  private static final long WRITER_PAUSE_MILLIS = 60;
  private static final long READER_PAUSE_MILLIS = 100;

  private final Set<String> acknowledged = ConcurrentHashMap.newKeySet();
  private volatile boolean stopped;

  public static void main(String[] arguments) throws Exception {
    Scenario scenario = new LostAfterPromotion();
    scenario.execute(arguments);
  }

  @Override
  protected DatabaseGroup createGroup() throws IOException {
    DatabaseGroup created =
        new DatabaseGroup(
            "ledger",
            SLOTS,
            CONNECTIONS,
            SYNC_REPLICAS,
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
            "shades", "bounded_staleness", group.service, ",\"max_staleness_ms\":1500"));
  }

  @Override
  protected int play() throws Exception {
    List<Thread> requesters = new ArrayList<>();
    for (int i = 0; i < WRITERS; i++) {
      int number = i;
      requesters.add(new Thread(() -> work("w" + number, number, "orders")));
    }
    for (int i = 0; i < READERS; i++) {
      int number = i;
      requesters.add(new Thread(() -> work("r" + number, number, "shades")));
    }
    requesters.forEach(Thread::start);
    TimeUnit.SECONDS.sleep(4);
    if (trouble) {
      group.server("s2").setDraining(true);
      platform.heartbeatNow();
      TimeUnit.SECONDS.sleep(1);
      group.server("s3").deafFor(6_000);
      TimeUnit.SECONDS.sleep(3);
      group.server("s1").crash();
    }
    TimeUnit.SECONDS.sleep(9);
    stopped = true;
    for (Thread requester : requesters) {
      requester.join(5_000);
    }
    return judge();
  }

  private void work(String name, int number, String database) {
    boolean writes = database.equals("orders");
    for (int round = 0; !stopped; round++) {
      String host = hosts.caller((number + round) % 3);
      try (Requester session = new Requester(name, host, database, record)) {
        Requester.Reply reply = null;
        while (!stopped && (reply == null || reply.succeeded())) {
          reply = session.run(writes ? "WRITE item" + number + " d" + round : "READ item0");
          if (writes && reply.succeeded() && !reply.mac().equals("-")) {
            acknowledged.add(reply.id());
          }
          pause(writes ? WRITER_PAUSE_MILLIS : READER_PAUSE_MILLIS);
        }
      } catch (IOException refused) {
        pause(WRITER_PAUSE_MILLIS);
      }
    }
  }

  private static void pause(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** LOST: a commit that a requester was told of isn't in the log of the promoted server. */
  private int judge() {
    record.say("acknowledged", acknowledged.size(), "commits");
    if (trouble && group.promotions().isEmpty()) {
      record.say("no-promotion");
      return HELD;
    }
    int lost = 0;
    for (DatabaseGroup.Promotion promotion : group.promotions()) {
      List<String> missing =
          promotion.acknowledged().stream()
              .filter(acknowledged::contains)
              .filter(id -> !promotion.received().contains(id))
              .sorted()
              .toList();
      lost += missing.size();
      record.say("promoted", promotion.server(), "lacks", missing.size(), "acknowledged commits");
      record.add("lacks", missing);
    }
    return lost > 0 ? BROKEN : HELD;
  }
}
