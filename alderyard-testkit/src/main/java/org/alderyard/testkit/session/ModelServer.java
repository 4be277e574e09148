package org.alderyard.testkit.session;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionStatement;
import org.alderyard.common.id.Position;
import org.alderyard.common.view.ServerState;

/** A server of a {@link ModelGroup} with its log and its scripted faults. */
public final class ModelServer {

  /** A committed write. */
  record Entry(Position position, Map<String, String> items) {}

  /**
   * A statement that the server ran.
   *
   * @param id the id that the caller gave the statement, if any
   * @param owner the owner of the connection that the statement arrived on
   * @param connection the number of the connection that the statement arrived on
   * @param statement the statement that ran
   * @param values the values of the session at the time of the run
   * @param position the applied position before the statement ran
   */
  public record RanStatement(
      Optional<String> id,
      ConnectionOwner owner,
      int connection,
      SessionStatement statement,
      Map<String, String> values,
      Position position) {}

  final ServerState state;
  final List<Entry> entries = new ArrayList<>();
  final List<RanStatement> ran = new ArrayList<>();
  private final Map<RefusalCode, Integer> refusals = new EnumMap<>(RefusalCode.class);
  private int applied;
  private boolean unreachable;
  private boolean unresponsive;
  private int busy;
  private int lostResponses;
  private int failures;
  private int lostPreparedStatements;
  private boolean rollbackRestoresVariables;
  private CompletableFuture<Void> released = CompletableFuture.completedFuture(null);

  ModelServer(ServerState state) {
    this.state = state;
  }

  /** Sets whether new connections are refused and open connections fail at their next use. */
  public synchronized void setUnreachable(boolean value) {
    unreachable = value;
  }

  /** Sets whether requests are accepted without a response. */
  public synchronized void setUnresponsive(boolean value) {
    unresponsive = value;
  }

  /** Delays responses until {@link #releaseResponses()} is called. */
  public synchronized void holdResponses() {
    released = new CompletableFuture<>();
  }

  /** Sends the delayed responses. */
  public void releaseResponses() {
    released().complete(null);
  }

  synchronized CompletableFuture<Void> released() {
    return released;
  }

  /** Refuses the given number of statements that take a slot. */
  public synchronized void refuseBusy(int statements) {
    busy = statements;
  }

  /**
   * Runs the given number of statements that take a slot and closes their connections without a
   * response.
   */
  public synchronized void loseResponses(int statements) {
    lostResponses = statements;
  }

  /** Runs the given number of statements that take a slot and responds with a failure. */
  public synchronized void fail(int statements) {
    failures = statements;
  }

  /** Forgets the prepared statement before each of the given number of executions. */
  public synchronized void losePreparedStatements(int executions) {
    lostPreparedStatements = executions;
  }

  /**
   * Sets whether a rollback also takes back the values and prepared statements of its transaction.
   */
  public synchronized void setRollbackRestoresVariables(boolean value) {
    rollbackRestoresVariables = value;
  }

  synchronized boolean rollbackRestoresVariables() {
    return rollbackRestoresVariables;
  }

  synchronized boolean consumeLostPreparedStatement() {
    if (lostPreparedStatements == 0) {
      return false;
    }
    lostPreparedStatements--;
    return true;
  }

  /** Returns the statements of callers that ran at this server, in order. */
  public synchronized List<RanStatement> ran() {
    return List.copyOf(ran);
  }

  /** Returns the number of statements refused with the given code. */
  public synchronized int refusals(RefusalCode code) {
    return refusals.getOrDefault(code, 0);
  }

  /** Returns the registered state of this server. */
  public ServerState state() {
    return state;
  }

  /** Returns whether the server accepts connections. */
  public synchronized boolean reachable() {
    return !unreachable;
  }

  synchronized boolean isUnreachable() {
    return unreachable;
  }

  synchronized boolean isUnresponsive() {
    return unresponsive;
  }

  synchronized boolean consumeBusy() {
    return busy > 0 && busy-- > 0;
  }

  synchronized boolean consumeLostResponse() {
    return lostResponses > 0 && lostResponses-- > 0;
  }

  synchronized boolean consumeFailure() {
    return failures > 0 && failures-- > 0;
  }

  synchronized void countRefusal(RefusalCode code) {
    refusals.merge(code, 1, Integer::sum);
  }

  synchronized void addRun(RanStatement statement) {
    ran.add(statement);
  }

  synchronized Position appliedPosition() {
    return applied == 0 ? Position.NONE : entries.get(applied - 1).position();
  }

  /** Returns the position of the last log entry, applied or not. */
  public synchronized Position lastLogPosition() {
    return entries.isEmpty() ? Position.NONE : entries.get(entries.size() - 1).position();
  }

  synchronized void append(Entry entry) {
    entries.add(entry);
    applied = entries.size();
  }

  /** Replaces the log by the first entries of another log and applies them. */
  synchronized void copy(List<Entry> log, int count) {
    entries.clear();
    entries.addAll(log.subList(0, count));
    applied = count;
  }

  synchronized List<Entry> log() {
    return List.copyOf(entries);
  }

  synchronized Optional<String> read(String item) {
    Map<String, String> items = new TreeMap<>();
    entries.subList(0, applied).forEach(entry -> items.putAll(entry.items()));
    return Optional.ofNullable(items.get(item));
  }
}
