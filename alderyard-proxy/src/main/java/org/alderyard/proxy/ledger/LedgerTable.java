package org.alderyard.proxy.ledger;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.LedgerKey;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.http.Json;
import org.alderyard.proxy.write.WriteAnswer;

/**
 * The requests that one proxy admitted, each kept until its retention has passed.
 *
 * <p>The retention starts when the caller first sent the request. An entry is removed only when a
 * resend cannot run the request twice: the request did not run, or every resend is rejected as too
 * old. A full table rejects new requests and never evicts an entry. Thread-safe; no other lock is
 * acquired while its lock is held.
 */
final class LedgerTable {
  private final LedgerLimits limits;
  // Guarded by this.
  private final Map<LedgerKey, Entry> entries = new HashMap<>();
  private final TreeSet<Entry> byRequestTime =
      new TreeSet<>(
          Comparator.comparingLong((Entry entry) -> entry.requestedAtMillis)
              .thenComparingLong(entry -> entry.sequence));
  private long nextSequence;
  private long resultBytes;
  private long latestNowMillis;

  LedgerTable(LedgerLimits limits) {
    this.limits = limits;
  }

  /**
   * Admits a request or returns the reason for its rejection.
   *
   * @param content a digest of the content of the request
   * @param requestedAtMillis when the caller first sent the request
   * @param ownedSinceMillis since when this proxy has owned the request ID
   * @param nowMillis the time on this proxy's wall clock
   */
  synchronized Admission admit(
      LedgerKey key,
      String content,
      long requestedAtMillis,
      long ownedSinceMillis,
      long nowMillis) {
    // Without the maximum, a clock that is set back would admit a request that was already too old.
    latestNowMillis = Math.max(latestNowMillis, nowMillis);
    removeExpired();
    if (requestedAtMillis < oldestAcceptedMillis()) {
      return rejected(Admission.Kind.TOO_OLD);
    }
    Entry existing = entries.get(key);
    if (existing != null) {
      return existing.content.equals(content)
          ? new Admission(Admission.Kind.REPEATED, existing.outcome)
          : rejected(Admission.Kind.REUSED);
    }
    if (requestedAtMillis < ownedSinceMillis + limits.ownerChangeFence().toMillis()) {
      return rejected(Admission.Kind.OWNER_CHANGED);
    }
    if (requestedAtMillis > nowMillis + limits.clockSkew().toMillis()) {
      return rejected(Admission.Kind.IN_FUTURE);
    }
    if (entries.size() >= limits.maxRequests() || resultBytes >= limits.maxResultBytes()) {
      return rejected(Admission.Kind.FULL);
    }
    return admitNew(key, content, requestedAtMillis);
  }

  private Admission admitNew(LedgerKey key, String content, long requestedAtMillis) {
    Entry entry = new Entry(key, content, requestedAtMillis, nextSequence++);
    entries.put(key, entry);
    byRequestTime.add(entry);
    entry.outcome.whenComplete((answer, failure) -> recordOutcome(entry, answer, failure));
    return new Admission(Admission.Kind.RUN, entry.outcome);
  }

  private static Admission rejected(Admission.Kind kind) {
    return new Admission(kind, null);
  }

  private synchronized void recordOutcome(Entry entry, WriteAnswer answer, Throwable failure) {
    if (entries.get(entry.key) != entry) {
      return;
    }
    if (failure == null) {
      entry.resultBytes = Json.bytes(answer.result()).length;
      resultBytes += entry.resultBytes;
    } else if (Futures.toAlderyardException(failure).outcome() == Outcome.NOT_RUN) {
      // The request did not run, so a resend is admitted as new.
      remove(entry);
    }
  }

  private long oldestAcceptedMillis() {
    return latestNowMillis - limits.retention().toMillis();
  }

  private void removeExpired() {
    while (!byRequestTime.isEmpty()
        && byRequestTime.first().requestedAtMillis < oldestAcceptedMillis()) {
      remove(byRequestTime.first());
    }
  }

  private void remove(Entry entry) {
    entries.remove(entry.key);
    byRequestTime.remove(entry);
    resultBytes -= entry.resultBytes;
  }

  synchronized int size() {
    return entries.size();
  }

  private static final class Entry {
    private final LedgerKey key;
    private final String content;
    private final long requestedAtMillis;
    private final long sequence;
    private final CompletableFuture<WriteAnswer> outcome = new CompletableFuture<>();
    private long resultBytes;

    Entry(LedgerKey key, String content, long requestedAtMillis, long sequence) {
      this.key = key;
      this.content = content;
      this.requestedAtMillis = requestedAtMillis;
      this.sequence = sequence;
    }
  }
}
