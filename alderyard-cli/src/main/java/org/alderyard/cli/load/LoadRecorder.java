package org.alderyard.cli.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.alderyard.testkit.history.Operation;

/** Collects the results and latencies of a load run; thread-safe. */
final class LoadRecorder {
  private static final long MAX_RECORDED_MICROS = 120_000_000;
  private static final int SIGNIFICANT_DIGITS = 3;

  private final ConcurrentLinkedQueue<Operation> operations = new ConcurrentLinkedQueue<>();
  private final Map<String, LongAdder> errors = new ConcurrentSkipListMap<>();
  private final Map<String, ConcurrentLinkedQueue<Long>> ackNanosByGroup =
      new ConcurrentSkipListMap<>();
  private final Histogram readMicros =
      new ConcurrentHistogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);
  private final Histogram writeMicros =
      new ConcurrentHistogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);
  private final LongAdder browseReads = new LongAdder();
  private final LongAdder browseReplicaReads = new LongAdder();
  private final LongAdder sessionReads = new LongAdder();
  private final LongAdder sessionReplicaReads = new LongAdder();

  void recordOperation(Operation operation) {
    operations.add(operation);
  }

  void countError(String code) {
    errors.computeIfAbsent(code, key -> new LongAdder()).increment();
  }

  void recordRead(boolean browse, boolean replica, long micros) {
    (browse ? browseReads : sessionReads).increment();
    if (replica) {
      (browse ? browseReplicaReads : sessionReplicaReads).increment();
    }
    readMicros.recordValue(Math.min(MAX_RECORDED_MICROS, micros));
  }

  void recordWrite(String group, long ackNanos, long micros) {
    ackNanosByGroup.computeIfAbsent(group, key -> new ConcurrentLinkedQueue<>()).add(ackNanos);
    writeMicros.recordValue(Math.min(MAX_RECORDED_MICROS, micros));
  }

  long statementCount() {
    return operations.size();
  }

  List<Operation> operations() {
    return List.copyOf(operations);
  }

  Map<String, LongAdder> errors() {
    return errors;
  }

  Histogram readMicros() {
    return readMicros;
  }

  Histogram writeMicros() {
    return writeMicros;
  }

  double browseReplicaShare() {
    return share(browseReplicaReads, browseReads);
  }

  double sessionReplicaShare() {
    return share(sessionReplicaReads, sessionReads);
  }

  double replicaShare() {
    long all = browseReads.sum() + sessionReads.sum();
    long replica = browseReplicaReads.sum() + sessionReplicaReads.sum();
    return all == 0 ? 0 : (double) replica / all;
  }

  private static double share(LongAdder part, LongAdder whole) {
    return whole.sum() == 0 ? 0 : (double) part.sum() / whole.sum();
  }

  /** Returns the longest time between two consecutive acknowledged writes, by group. */
  Map<String, Long> longestWriteGapMillis() {
    Map<String, Long> gaps = new ConcurrentSkipListMap<>();
    ackNanosByGroup.forEach((group, acks) -> gaps.put(group, longestGap(new ArrayList<>(acks))));
    return gaps;
  }

  private static long longestGap(List<Long> acks) {
    acks.sort(null);
    long longest = 0;
    for (int i = 1; i < acks.size(); i++) {
      longest = Math.max(longest, acks.get(i) - acks.get(i - 1));
    }
    return longest / 1_000_000;
  }
}
