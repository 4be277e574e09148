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
 * The requests that one proxy admitted, each until the retention after its first sending is over.
 *
 * <p>An entry leaves only when no resend of it can be admitted any more: it did not run, or every
 * resend is refused as too old. A full table refuses new requests; it never drops one that it may
 * be asked for. Thread-safe; its own lock is a leaf.
 */
final class LedgerTable {
  private final LedgerLimits limits;
  // Guarded by this.
  private final Map<LedgerKey, Entry> entries = new HashMap<>();
  private final TreeSet<Entry> oldestFirst =
      new TreeSet<>(
          Comparator.comparingLong((Entry entry) -> entry.requestedAtMillis)
              .thenComparingLong(entry -> entry.number));
  private long nextNumber;
  private long resultBytes;
  private long latestMillis;

  LedgerTable(LedgerLimits limits) {
    this.limits = limits;
  }

  /**
   * Admits a request or says why not.
   *
   * @param content a digest of what it does
   * @param requestedAtMillis when its caller first sent it
   * @param ownedSinceMillis since when this proxy owns its id
   * @param nowMillis the time on this proxy's wall clock
   */
  synchronized Admission admit(
      LedgerKey key,
      String content,
      long requestedAtMillis,
      long ownedSinceMillis,
      long nowMillis) {
    // A clock that is set back would admit again what was too old a moment ago.
    latestMillis = Math.max(latestMillis, nowMillis);
    removeExpired();
    if (requestedAtMillis < oldestAccepted()) {
      return refused(Admission.Kind.TOO_OLD);
    }
    Entry known = entries.get(key);
    if (known != null) {
      return known.content.equals(content)
          ? new Admission(Admission.Kind.REPEATED, known.outcome)
          : refused(Admission.Kind.REUSED);
    }
    if (requestedAtMillis < ownedSinceMillis + limits.ownerChangeFence().toMillis()) {
      return refused(Admission.Kind.OWNER_CHANGED);
    }
    if (requestedAtMillis > nowMillis + limits.clockSkew().toMillis()) {
      return refused(Admission.Kind.IN_FUTURE);
    }
    if (entries.size() >= limits.maxRequests() || resultBytes >= limits.maxResultBytes()) {
      return refused(Admission.Kind.FULL);
    }
    return admitNew(key, content, requestedAtMillis);
  }

  private Admission admitNew(LedgerKey key, String content, long requestedAtMillis) {
    Entry entry = new Entry(key, content, requestedAtMillis, nextNumber++);
    entries.put(key, entry);
    oldestFirst.add(entry);
    entry.outcome.whenComplete((answer, failure) -> ended(entry, answer, failure));
    return new Admission(Admission.Kind.RUN, entry.outcome);
  }

  private static Admission refused(Admission.Kind kind) {
    return new Admission(kind, null);
  }

  private synchronized void ended(Entry entry, WriteAnswer answer, Throwable failure) {
    if (entries.get(entry.key) != entry) {
      return;
    }
    if (failure == null) {
      entry.resultBytes = Json.bytes(answer.result()).length;
      resultBytes += entry.resultBytes;
    } else if (Futures.typed(failure).outcome() == Outcome.NOT_RUN) {
      // Proved not to have run: a resend is as good as new.
      remove(entry);
    }
  }

  private long oldestAccepted() {
    return latestMillis - limits.retention().toMillis();
  }

  private void removeExpired() {
    while (!oldestFirst.isEmpty() && oldestFirst.first().requestedAtMillis < oldestAccepted()) {
      remove(oldestFirst.first());
    }
  }

  private void remove(Entry entry) {
    entries.remove(entry.key);
    oldestFirst.remove(entry);
    resultBytes -= entry.resultBytes;
  }

  synchronized int size() {
    return entries.size();
  }

  private static final class Entry {
    private final LedgerKey key;
    private final String content;
    private final long requestedAtMillis;
    private final long number;
    private final CompletableFuture<WriteAnswer> outcome = new CompletableFuture<>();
    private long resultBytes;

    Entry(LedgerKey key, String content, long requestedAtMillis, long number) {
      this.key = key;
      this.content = content;
      this.requestedAtMillis = requestedAtMillis;
      this.number = number;
    }
  }
}
