import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/**
 * With {@code sync_replicas} 1, the primary and the replica that acknowledges crash at the same
 * moment. The replica starts again under its id with nothing of before; the other replica lags.
 */
final class LostCommitCase implements CaseMain.Case {
  private static final long FAST_LAG_MILLIS = 10;
  private static final long SLOW_LAG_MILLIS = 60;
  private static final long WRITE_MILLIS = 4_000;
  private static final long DARK_MILLIS = 7_000;
  private static final long RESTART_MILLIS = 1_000;
  private static final long PROMOTE_MILLIS = 300;

  private final List<String> acknowledged = Collections.synchronizedList(new ArrayList<>());
  private final AtomicReference<String> missing = new AtomicReference<>();
  private volatile Bed bed;
  private volatile Record record;
  private volatile boolean stopped;

  @Override
  public boolean run(Path root, Record caseRecord, boolean trouble) throws Exception {
    record = caseRecord;
    try (Bed started = new Bed(root, record, 1, 3, this::promote)) {
      bed = started;
      DbServer first = bed.group().add("i-00000001", "z0", FAST_LAG_MILLIS);
      DbServer second = bed.group().add("i-00000002", "z1", FAST_LAG_MILLIS);
      bed.group().add("i-00000003", "z2", SLOW_LAG_MILLIS);
      bed.start();
      List<Thread> writers = new ArrayList<>();
      for (HostProcess host : bed.hosts()) {
        writers.add(new Thread(() -> write(host), "writer-" + host.name()));
      }
      writers.forEach(Thread::start);
      Thread.sleep(WRITE_MILLIS);
      if (trouble) {
        synchronized (bed.group()) {
          first.crash();
          second.crash();
        }
        record.add("servers i-00000001 (primary) and i-00000002 (replica) crash");
        Thread.sleep(RESTART_MILLIS);
        // A trial with its log kept shows that the loss of the replica's log is what matters.
        boolean keepsLog = Boolean.getBoolean("replicaKeepsLog");
        second.start(keepsLog);
        record.add("server i-00000002 starts again under its id, log kept: %s", keepsLog);
        bed.pingAll();
        Thread.sleep(DARK_MILLIS - RESTART_MILLIS);
        first.start(true);
        record.add("server i-00000001 is back with its log");
        bed.pingAll();
        bed.group().servers().forEach(bed.group()::catchUp);
      }
      Thread.sleep(WRITE_MILLIS);
      stopped = true;
      for (Thread writer : writers) {
        writer.join(5_000);
      }
      record.add("%d writes were acknowledged", acknowledged.size());
      if (acknowledged.isEmpty()) {
        throw new IOException("no write was acknowledged");
      }
      return missing.get() == null;
    }
  }

  /** Writes at a host as fast as answers come, in sessions of 50 statements. */
  private void write(HostProcess host) {
    while (!stopped) {
      try (Caller caller = new Caller(bed.front(host), Bed.DATABASE, 2_000)) {
        for (int n = 0; n < 50 && !stopped; n++) {
          String id = Caller.nextId();
          Caller.Answer answer = caller.run(id, "WRITE a1 data" + n);
          record.add("%s: WRITE %s answered %s", host.name(), id, answer);
          if (answer.succeeded()) {
            acknowledged.add(id);
          } else {
            Thread.sleep(100);
          }
        }
      } catch (IOException failed) {
        record.add("%s: session ended: %s", host.name(), failed.getMessage());
      } catch (InterruptedException interrupted) {
        return;
      }
    }
  }

  private int promote(Appointer.Call call) throws InterruptedException {
    record.add("provider was called: %s", call);
    DbServer server = bed.group().server(call.server());
    if (!server.isRunning()) {
      return 409;
    }
    Thread.sleep(PROMOTE_MILLIS);
    // The writes that were acknowledged before the server takes the lead have to be in its log.
    List<String> owed = List.copyOf(acknowledged);
    List<String> lost =
        owed.stream().filter(write -> !bed.group().holdsWrite(server, write)).toList();
    if (!lost.isEmpty() && !call.server().equals(bed.group().primaryId())) {
      missing.compareAndSet(null, lost.get(0));
      record.add(
          "BROKEN: %s is promoted without %d acknowledged writes: %s",
          call.server(), lost.size(), lost);
    }
    bed.group().promote(call.server());
    bed.pingAll();
    return 200;
  }
}
