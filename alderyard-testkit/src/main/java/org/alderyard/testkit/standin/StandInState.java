package org.alderyard.testkit.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.alderyard.backend.BackendException;
import org.alderyard.backend.BackendException.Refusal;
import org.alderyard.backend.BackendResponse;
import org.alderyard.backend.BackendStatement;
import org.alderyard.backend.LedgerKey;
import org.alderyard.backend.ServerReport;
import org.alderyard.backend.ServerRole;
import org.alderyard.common.id.Position;
import org.alderyard.common.view.TermStart;

/**
 * Term, role, log and data of a stand-in server. Thread-safe: all methods synchronize on this
 * object.
 */
final class StandInState {
  private final StandInOptions options;
  private final LogFile file;
  private final List<LogEntry> log = new ArrayList<>();
  private final List<TermStart> termStarts = new ArrayList<>();
  private final Map<LedgerKey, LogEntry> ledger = new HashMap<>();
  private KeyValues data = new KeyValues();
  private int applied;
  private long term;
  private ServerRole role = ServerRole.FENCED;
  private Optional<InetSocketAddress> primary = Optional.empty();

  StandInState(StandInOptions options, LogFile file) {
    this.options = options;
    this.file = file;
    file.load(log, termStarts);
    term = termStarts.isEmpty() ? 0 : termStarts.get(termStarts.size() - 1).term();
    term = Math.max(term, file.term());
    if (options.primary() && log.isEmpty() && term == 0) {
      term = 1;
      role = ServerRole.PRIMARY;
      addTermStart(new TermStart(1, 0));
    }
    applyUpTo(log.size());
    if (term <= 1 && role == ServerRole.FENCED) {
      options.follow().ifPresent(address -> follow(1, address));
    }
  }

  synchronized ServerReport report() {
    return new ServerReport(
        options.server(),
        options.incarnation(),
        options.group(),
        term,
        role,
        positionAt(log.size()),
        positionAt(applied),
        termStarts,
        options.ledger());
  }

  private Position positionAt(int count) {
    return count == 0 ? Position.NONE : log.get(count - 1).position();
  }

  synchronized BackendResponse read(BackendStatement statement) {
    return new BackendResponse(data.run(statement), positionAt(applied));
  }

  /**
   * Runs the writes of a transaction as one log entry. A resend of recorded writes returns the
   * result from the ledger.
   */
  synchronized BackendResponse write(List<BackendStatement> writes, long writeTerm) {
    requirePrimary(writeTerm);
    Optional<LedgerKey> key =
        options.ledger() && !writes.isEmpty() ? writes.get(0).ledgerKey() : Optional.empty();
    if (key.isPresent() && ledger.containsKey(key.get())) {
      LogEntry earlier = ledger.get(key.get());
      if (!earlier.hasSameContent(writes)) {
        throw new BackendException(
            Refusal.REQUEST_ID_REUSED,
            "request id " + key.get().request() + " is in use for another write");
      }
      return new BackendResponse(earlier.result(), earlier.position());
    }
    KeyValues after = writes.size() > 1 ? data.copy() : data;
    JsonNode result = null;
    for (BackendStatement write : writes) {
      result = after.run(write);
    }
    data = after;
    LogEntry entry = new LogEntry(new Position(term, log.size() + 1L), writes, result);
    appendToLog(entry);
    applied = log.size();
    notifyAll();
    return new BackendResponse(result, entry.position());
  }

  private void appendToLog(LogEntry entry) {
    log.add(entry);
    entry.ledgerKey().ifPresent(key -> ledger.put(key, entry));
    file.append(entry);
  }

  synchronized KeyValues copyData() {
    return data.copy();
  }

  synchronized void requirePrimary(long writeTerm) {
    if (role != ServerRole.PRIMARY) {
      throw new BackendException(Refusal.NOT_PRIMARY, options.server() + " is " + role);
    }
    if (writeTerm != term) {
      throw new BackendException(
          Refusal.TERM_MISMATCH, "write at term " + writeTerm + "; the server is at term " + term);
    }
  }

  synchronized ServerReport fence(long newTerm) {
    if (newTerm < term) {
      throw new BackendException(
          Refusal.TERM_MISMATCH, "fence at term " + newTerm + "; the server is at term " + term);
    }
    if (newTerm > term) {
      term = newTerm;
      file.term(term);
      role = ServerRole.FENCED;
      primary = Optional.empty();
      notifyAll();
    }
    return report();
  }

  synchronized ServerReport promote(long newTerm) {
    if (newTerm != term || role == ServerRole.REPLICA) {
      throw new BackendException(
          Refusal.TERM_MISMATCH,
          "promotion at term " + newTerm + "; the server is at term " + term + " as " + role);
    }
    if (role == ServerRole.FENCED) {
      applyUpTo(log.size());
      role = ServerRole.PRIMARY;
      addTermStart(new TermStart(term, log.size()));
      notifyAll();
    }
    return report();
  }

  synchronized ServerReport follow(long newTerm, InetSocketAddress newPrimary) {
    if (newTerm < term || (newTerm == term && role == ServerRole.PRIMARY)) {
      throw new BackendException(
          Refusal.TERM_MISMATCH, "follow at term " + newTerm + "; the server is at term " + term);
    }
    term = newTerm;
    file.term(term);
    role = ServerRole.REPLICA;
    primary = Optional.of(newPrimary);
    notifyAll();
    return report();
  }

  private void addTermStart(TermStart start) {
    termStarts.add(start);
    file.append(start);
  }

  /** Returns the primary to replicate from; empty unless this server is a replica. */
  synchronized Optional<InetSocketAddress> primary() {
    return primary;
  }

  /**
   * Appends entries of the primary. Entries that diverge from the primary's term history are
   * removed first.
   *
   * <p>The entries are ignored unless this server is a replica of the given primary.
   */
  synchronized void replicate(
      InetSocketAddress from, List<TermStart> primaryStarts, List<LogEntry> entries) {
    if (role != ServerRole.REPLICA || !primary.equals(Optional.of(from))) {
      return;
    }
    truncateDiverged(primaryStarts);
    for (TermStart start : primaryStarts) {
      if (!termStarts.contains(start)) {
        addTermStart(start);
      }
    }
    for (LogEntry entry : entries) {
      if (entry.position().index() == log.size() + 1L) {
        appendToLog(entry);
      }
    }
    notifyAll();
  }

  private void truncateDiverged(List<TermStart> primaryStarts) {
    long keep = log.size();
    for (TermStart start : primaryStarts) {
      boolean diverged =
          log.size() > start.startIndex()
              && log.get((int) start.startIndex()).position().term() < start.term();
      if (diverged) {
        keep = Math.min(keep, start.startIndex());
      }
    }
    if (keep == log.size()) {
      return;
    }
    log.subList((int) keep, log.size()).clear();
    termStarts.removeIf(start -> !primaryStarts.contains(start));
    file.rewrite(log, termStarts);
    ledger.clear();
    log.forEach(entry -> entry.ledgerKey().ifPresent(key -> ledger.put(key, entry)));
    int reappliedCount = Math.min(applied, log.size());
    data = new KeyValues();
    applied = 0;
    applyUpTo(reappliedCount);
  }

  synchronized void applyUpTo(int count) {
    while (applied < Math.min(count, log.size())) {
      for (BackendStatement write : log.get(applied).writes()) {
        data.run(write);
      }
      applied++;
    }
    notifyAll();
  }

  synchronized int logSize() {
    return log.size();
  }

  synchronized List<LogEntry> entriesFrom(int from, int max) {
    int start = Math.min(from, log.size());
    return List.copyOf(log.subList(start, Math.min(log.size(), start + max)));
  }

  /**
   * Blocks until the log contains, or has applied, the entry of the position or the wait time has
   * elapsed.
   */
  synchronized ServerReport await(Position position, boolean held, long waitMillis)
      throws InterruptedException {
    long deadlineNanos = System.nanoTime() + waitMillis * 1_000_000;
    while ((held ? log.size() : applied) < position.index()) {
      long remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
      if (remainingMillis <= 0) {
        break;
      }
      wait(remainingMillis);
    }
    return report();
  }
}
