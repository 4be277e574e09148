package org.alderyard.benchmarks.writes;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.sun.management.ThreadMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.HdrHistogram.ConcurrentHistogram;
import org.alderyard.backend.BackendStatement;
import org.alderyard.backend.ServerConnection;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.http.HttpConnector;
import org.alderyard.backend.http.HttpServerAdmin;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.WriteAcknowledgement;
import org.alderyard.proxy.limit.RetryBudget;
import org.alderyard.proxy.pool.ServerPools;
import org.alderyard.proxy.view.ViewHolder;
import org.alderyard.proxy.write.WriteAdmission;
import org.alderyard.proxy.write.WritePath;
import org.alderyard.proxy.write.WriteRequest;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Prints latency, throughput, polls and allocation of writes: sent directly to the primary, and
 * sent through the write path with acknowledgement by the primary only or by a majority.
 */
public final class WritesBenchmark {
  private static final int[] CONCURRENCIES = {1, 5, 20};
  private static final int WARM_UP = 3_000;
  private static final int WRITES = 10_000;
  private static final int WORKERS = 4;
  private static final String IO_NAME = "proxy-io";
  private static final String WORKER_NAME = "proxy-worker";
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  private final WorkerPool workers = new WorkerPool(WORKER_NAME, WORKERS);
  private final XnioWorker ioWorker;
  private final BenchGroup group = new BenchGroup();
  private final HttpConnector connector;
  private final WritePath writes;
  private final AtomicInteger numbers = new AtomicInteger();
  private final AtomicInteger failures = new AtomicInteger();

  private WritesBenchmark() throws IOException {
    ioWorker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_NAME, IO_NAME)
                    .set(Options.WORKER_IO_THREADS, 2)
                    .set(Options.TCP_NODELAY, true)
                    .getMap());
    connector = new HttpConnector(ioWorker, workers);
    ViewHolder views = new ViewHolder();
    views.updateIfNewer(group.view());
    writes =
        new WritePath(
            views,
            new ServerPools(connector),
            new HttpServerAdmin(connector),
            new RetryBudget(RetryBudget.DEFAULT_SHARE, RetryBudget.DEFAULT_MAX_RESENDS),
            WriteAdmission.OPEN,
            id -> false,
            () -> true,
            workers,
            MonotonicClock.system());
  }

  /** Runs all cases; the exit code is 1 if a write failed. */
  public static void main(String[] args) throws Exception {
    // Log output would distort the measurement, and its cost depends on the destination.
    ((Logger) LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME)).setLevel(Level.WARN);
    WritesBenchmark benchmark = new WritesBenchmark();
    System.out.println(
        "| way | in flight | writes/s | p50 us | p99 us | polls/write | bytes/write |");
    System.out.println("|---|---|---|---|---|---|---|");
    for (int concurrency : CONCURRENCIES) {
      benchmark.measureDirect(concurrency);
      benchmark.measureWritePath("primary only", WriteAcknowledgement.PRIMARY_ONLY, concurrency);
      benchmark.measureWritePath("majority", WriteAcknowledgement.MAJORITY, concurrency);
    }
    System.out.println("failed writes: " + benchmark.failures);
    System.exit(benchmark.failures.get() == 0 ? 0 : 1);
  }

  private void measureDirect(int concurrency) throws Exception {
    ConcurrentLinkedQueue<ServerConnection> idle = new ConcurrentLinkedQueue<>();
    for (int number = 0; number < concurrency; number++) {
      idle.add(connector.connect(group.primary(), TIMEOUT).join());
    }
    measure("direct", concurrency, () -> runOn(idle));
    idle.forEach(ServerConnection::close);
  }

  private CompletableFuture<?> runOn(ConcurrentLinkedQueue<ServerConnection> idle) {
    ServerConnection connection = idle.remove();
    return connection
        .run(statement(), TIMEOUT)
        .whenComplete((answer, failure) -> idle.add(connection));
  }

  private BackendStatement statement() {
    return new BackendStatement(
        StatementKind.WRITE,
        key(),
        "put",
        List.of(JsonNodeFactory.instance.textNode("kit")),
        1,
        Optional.empty());
  }

  private String key() {
    return "order-" + numbers.incrementAndGet() % 1_000;
  }

  private void measureWritePath(String name, WriteAcknowledgement acknowledgement, int concurrency)
      throws Exception {
    measure(
        name,
        concurrency,
        () ->
            writes.run(
                new WriteRequest(
                    BenchGroup.pool(acknowledgement),
                    BenchGroup.GROUP,
                    key(),
                    "put",
                    List.of(JsonNodeFactory.instance.textNode("kit")),
                    Optional.empty(),
                    OptionalLong.empty(),
                    TIMEOUT)));
  }

  private void measure(String name, int concurrency, Supplier<CompletableFuture<?>> write)
      throws Exception {
    run(concurrency, WARM_UP, write, new ConcurrentHistogram(3));
    ConcurrentHistogram latencies = new ConcurrentHistogram(3);
    final long polls = writes.acknowledgementPolls();
    final long bytes = allocatedBytes();
    long start = System.nanoTime();
    run(concurrency, WRITES, write, latencies);
    double seconds = (System.nanoTime() - start) / 1e9;
    System.out.printf(
        "| %s | %d | %.0f | %.0f | %.0f | %.2f | %d |%n",
        name,
        concurrency,
        WRITES / seconds,
        latencies.getValueAtPercentile(50) / 1e3,
        latencies.getValueAtPercentile(99) / 1e3,
        (double) (writes.acknowledgementPolls() - polls) / WRITES,
        (allocatedBytes() - bytes) / WRITES);
  }

  /** Runs the given number of writes at constant concurrency and waits for their completion. */
  private void run(
      int concurrency,
      int count,
      Supplier<CompletableFuture<?>> write,
      ConcurrentHistogram latencies)
      throws InterruptedException {
    CountDownLatch done = new CountDownLatch(count);
    AtomicInteger remaining = new AtomicInteger(count);
    for (int slot = 0; slot < concurrency; slot++) {
      workers.execute(() -> writeNext(remaining, done, write, latencies));
    }
    if (!done.await(TIMEOUT.toSeconds() * concurrency, TimeUnit.SECONDS)) {
      failures.incrementAndGet();
    }
  }

  private void writeNext(
      AtomicInteger remaining,
      CountDownLatch done,
      Supplier<CompletableFuture<?>> write,
      ConcurrentHistogram latencies) {
    if (remaining.getAndDecrement() <= 0) {
      return;
    }
    long start = System.nanoTime();
    write
        .get()
        .whenComplete(
            (answer, failure) -> {
              latencies.recordValue(System.nanoTime() - start);
              if (failure != null) {
                failures.incrementAndGet();
              }
              done.countDown();
              workers.execute(() -> writeNext(remaining, done, write, latencies));
            });
  }

  /** Returns the bytes allocated by the proxy threads, without those of the stand-in servers. */
  private static long allocatedBytes() {
    long sum = 0;
    for (ThreadInfo thread : THREADS.getThreadInfo(THREADS.getAllThreadIds())) {
      boolean isProxyThread =
          thread != null
              && (thread.getThreadName().startsWith(IO_NAME)
                  || thread.getThreadName().startsWith(WORKER_NAME));
      if (isProxyThread) {
        sum += THREADS.getThreadAllocatedBytes(thread.getThreadId());
      }
    }
    return sum;
  }
}
