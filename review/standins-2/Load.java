import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Requesters that write at all hosts, one session a host, and try again after a failure. */
final class Load {
  private final Bed bed;
  private final Record record;
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean ended;

  Load(Bed bed, Record record) {
    this.bed = bed;
    this.record = record;
  }

  void start() {
    for (HostProcess host : bed.hosts()) {
      Thread thread = new Thread(() -> write(host), "load-" + host.name());
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
  }

  private void write(HostProcess host) {
    while (!ended) {
      try (Caller caller = new Caller(bed.front(host), Bed.DATABASE, 2_000)) {
        while (!ended) {
          String id = Caller.nextId();
          Caller.Answer answer = caller.run(id, "WRITE a1 data");
          record.add("%s: WRITE %s answered %s", host.name(), id, answer);
          Thread.sleep(answer.succeeded() ? 50 : 100);
        }
      } catch (IOException failed) {
        record.add("%s: session ended: %s", host.name(), failed.getMessage());
        pause();
      } catch (InterruptedException interrupted) {
        return;
      }
    }
  }

  private static void pause() {
    try {
      Thread.sleep(100);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  void end() throws InterruptedException {
    ended = true;
    for (Thread thread : threads) {
      thread.join(3_000);
    }
  }
}
