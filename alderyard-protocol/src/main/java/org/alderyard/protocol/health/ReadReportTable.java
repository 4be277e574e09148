package org.alderyard.protocol.health;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.alderyard.protocol.generated.control.ServerReads;

/**
 * Collects the reports of all hosts for the control leader, and sums for each host what the others
 * reported since it last asked. Everything is kept in memory: a new leader starts with nothing.
 *
 * <p>Reads no clock. Thread-safe; the instance monitor is a leaf lock.
 */
public final class ReadReportTable {
  /** Reports are dropped after two heartbeats; a host that asks later gets newer ones only. */
  private static final long LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** Bounds the memory; larger than the reports of 1,000 hosts within their lifetime. */
  private static final int MAX_ENTRIES = 30_000;

  private record Entry(String host, long receivedNanos, ServerReads reads) {}

  private record Cold(int millis, long receivedNanos) {}

  // Guarded by this.
  private final Deque<Entry> entries = new ArrayDeque<>();
  private final Map<String, Long> lastAskedNanos = new HashMap<>();
  private final Map<Integer, Cold> cold = new HashMap<>();

  /** Sums of one server. */
  private static final class Sum {
    private long answered;
    private long failed;
    private long refused;
    private long answeredMicros;

    void add(ServerReads reads) {
      answered += reads.getAnswered();
      failed += reads.getFailed();
      refused += reads.getRefused();
      answeredMicros += (long) reads.getAnswered() * reads.getMeanMicros();
    }
  }

  /** Records how much longer a server says that it is slow after its start; 0 if it is not. */
  public synchronized void recordCold(int server, int remainingMillis, long nowNanos) {
    cold.values().removeIf(said -> remainingMillis(said, nowNanos) <= 0);
    if (remainingMillis > 0) {
      cold.put(server, new Cold(remainingMillis, nowNanos));
    } else {
      cold.remove(server);
    }
  }

  /**
   * Adds the report of a host and returns what the others reported since its last call. Entries
   * beyond the bounds are ignored.
   */
  public synchronized List<ServerReads> exchange(
      String host, List<ServerReads> report, long nowNanos) {
    removeExpired(nowNanos);
    List<ServerReads> sums = sumsOfOthers(host, nowNanos);
    lastAskedNanos.put(host, nowNanos);
    ReadReportLimits.bounded(report, ReadReportLimits.MAX_REPORTED_SERVERS).stream()
        .limit(Math.max(0, MAX_ENTRIES - entries.size()))
        .forEach(reads -> entries.add(new Entry(host, nowNanos, reads)));
    return sums;
  }

  private void removeExpired(long nowNanos) {
    while (!entries.isEmpty() && isExpired(entries.peek().receivedNanos(), nowNanos)) {
      entries.remove();
    }
    lastAskedNanos.values().removeIf(asked -> isExpired(asked, nowNanos));
    cold.values().removeIf(said -> remainingMillis(said, nowNanos) <= 0);
  }

  private static boolean isExpired(long atNanos, long nowNanos) {
    return nowNanos - atNanos >= LIFETIME_NANOS;
  }

  private static long remainingMillis(Cold said, long nowNanos) {
    return said.millis() - TimeUnit.NANOSECONDS.toMillis(nowNanos - said.receivedNanos());
  }

  private List<ServerReads> sumsOfOthers(String host, long nowNanos) {
    Long askedNanos = lastAskedNanos.get(host);
    Map<Integer, Sum> sums = new HashMap<>();
    Iterator<Entry> newestFirst = entries.descendingIterator();
    while (newestFirst.hasNext()) {
      Entry entry = newestFirst.next();
      if (askedNanos != null && entry.receivedNanos() - askedNanos < 0) {
        break;
      }
      if (!entry.host().equals(host)) {
        sums.computeIfAbsent(entry.reads().getServer(), server -> new Sum()).add(entry.reads());
      }
    }
    cold.keySet().forEach(server -> sums.computeIfAbsent(server, id -> new Sum()));
    List<ServerReads> all = new ArrayList<>();
    sums.forEach((server, sum) -> all.add(message(server, sum, cold.get(server), nowNanos)));
    return ReadReportLimits.bounded(all, ReadReportLimits.MAX_REPLIED_SERVERS);
  }

  private static ServerReads message(int server, Sum sum, Cold said, long nowNanos) {
    return ServerReads.newBuilder()
        .setServer(server)
        .setAnswered(count(sum.answered))
        .setFailed(count(sum.failed))
        .setRefused(count(sum.refused))
        .setMeanMicros(sum.answered == 0 ? 0 : (int) (sum.answeredMicros / sum.answered))
        .setColdRemainingMillis(said == null ? 0 : (int) remainingMillis(said, nowNanos))
        .build();
  }

  private static int count(long value) {
    return (int) Math.min(Integer.MAX_VALUE, value);
  }
}
