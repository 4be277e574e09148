import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The leader freezes while its call for a promotion is on the way, and the provider ends the
 * connection without an answer. Another leader has promoted a server when the first one wakes.
 */
final class StaleHolderCase implements CaseMain.Case {
  private static final long LAG_MILLIS = 20;
  private static final long FREEZE_MILLIS = 4_000;
  private static final long PROMOTE_MILLIS = 300;
  private static final long AFTER_MILLIS = 6_000;
  private static final long SECOND_CALL_SECONDS = 20;

  private final CountDownLatch firstCall = new CountDownLatch(1);
  private final CountDownLatch secondPromotion = new CountDownLatch(1);
  private final CountDownLatch dropFirst = new CountDownLatch(1);
  private volatile Bed bed;
  private volatile Record record;
  private volatile boolean trouble;
  private volatile Appointer.Call first;
  private volatile boolean broken;
  // Guarded by this.
  private long highestToken;

  @Override
  public boolean run(Path root, Record caseRecord, boolean withTrouble) throws Exception {
    record = caseRecord;
    trouble = withTrouble;
    try (Bed started = new Bed(root, record, 0, 3, this::promote)) {
      bed = started;
      DbServer primary = bed.group().add("i-00000001", "z0", LAG_MILLIS);
      bed.group().add("i-00000002", "z1", LAG_MILLIS);
      bed.group().add("i-00000003", "z2", LAG_MILLIS);
      bed.start();
      Load load = new Load(bed, record);
      load.start();
      Thread.sleep(2_000);
      primary.crash();
      record.add("server i-00000001 (primary) crashes");
      if (!firstCall.await(20, TimeUnit.SECONDS)) {
        throw new IllegalStateException("no host has called for a promotion");
      }
      if (trouble) {
        HostProcess holder = bed.host(first.holder());
        long frozenNanos = System.nanoTime();
        if (!secondPromotion.await(SECOND_CALL_SECONDS, TimeUnit.SECONDS)) {
          throw new IllegalStateException("no second host has called for a promotion");
        }
        long frozen = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - frozenNanos);
        Thread.sleep(Math.max(0, FREEZE_MILLIS - frozen));
        dropFirst.countDown();
        Thread.sleep(200);
        holder.signal("CONT");
        record.add("host %s wakes", holder.name());
      }
      Thread.sleep(AFTER_MILLIS);
      load.end();
      return !broken;
    }
  }

  private int promote(Appointer.Call call) throws InterruptedException {
    boolean stale;
    synchronized (this) {
      stale = call.token() < highestToken;
      highestToken = Math.max(highestToken, call.token());
    }
    record.add("provider was called: %s%s", call, stale ? " (a lower token than seen)" : "");
    broken |= stale;
    if (trouble && first == null) {
      first = call;
      freeze(call.holder());
      firstCall.countDown();
      dropFirst.await();
      record.add("provider ends the connection of the first call without an answer");
      return 0;
    }
    if (first == null) {
      first = call;
    }
    firstCall.countDown();
    if (!bed.group().server(call.server()).isRunning()) {
      return 409;
    }
    Thread.sleep(PROMOTE_MILLIS);
    bed.group().promote(call.server());
    bed.pingAll();
    if (!call.holder().equals(first.holder())) {
      secondPromotion.countDown();
    }
    return 200;
  }

  private void freeze(String host) throws InterruptedException {
    try {
      bed.host(host).signal("STOP");
      record.add("host %s freezes", host);
    } catch (java.io.IOException failed) {
      throw new IllegalStateException(failed);
    }
  }
}
