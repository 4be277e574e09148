package org.alderyard.testkit.session;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionStatement;
import org.alderyard.common.id.Position;
import org.alderyard.common.view.ServerState;

/** One server of a {@link ModelGroup}: its log, and the faults that it is told to have. */
public final class ModelServer {

  /** One committed write. */
  record Entry(Position position, Map<String, String> items) {}

  /**
   * A statement that was run.
   *
   * @param id the caller's name for it
   * @param connection the connection that it came on
   * @param statement the statement
   * @param values the session's values when it ran
   * @param position up to where reads showed the log
   */
  public record Ran(
      Optional<String> id,
      int connection,
      SessionStatement statement,
      Map<String, String> values,
      Position position) {}

  final ServerState state;
  final List<Entry> entries = new ArrayList<>();
  final List<Ran> ran = new ArrayList<>();
  private final Map<RefusalCode, Integer> refusals = new EnumMap<>(RefusalCode.class);
  private int applied;
  private boolean unreachable;
  private boolean silent;
  private int busy;
  private int lostAnswers;
  private int failures;
  private CompletableFuture<Void> gate = CompletableFuture.completedFuture(null);

  ModelServer(ServerState state) {
    this.state = state;
  }

  /** Refuses connections and breaks those that are open at their next use. */
  public synchronized void unreachable(boolean value) {
    unreachable = value;
  }

  /** Takes everything and answers nothing. */
  public synchronized void silent(boolean value) {
    silent = value;
  }

  /** Holds its answers back until {@link #letGo()}. */
  public synchronized void hold() {
    gate = new CompletableFuture<>();
  }

  /** Sends the answers that were held back. */
  public void letGo() {
    gate().complete(null);
  }

  synchronized CompletableFuture<Void> gate() {
    return gate;
  }

  /** Refuses the next statements that take a slot. */
  public synchronized void busy(int statements) {
    busy = statements;
  }

  /** Runs the next statements that take a slot and breaks their connections without an answer. */
  public synchronized void loseAnswers(int statements) {
    lostAnswers = statements;
  }

  /** Runs the next statements that take a slot and answers that they failed. */
  public synchronized void fail(int statements) {
    failures = statements;
  }

  /** Returns the statements of callers that ran here, in order. */
  public synchronized List<Ran> ran() {
    return List.copyOf(ran);
  }

  /** Returns how many statements it refused for this reason. */
  public synchronized int refusals(RefusalCode code) {
    return refusals.getOrDefault(code, 0);
  }

  /** Returns the server as the registry knows it. */
  public ServerState state() {
    return state;
  }

  /** Returns whether it takes connections. */
  public synchronized boolean reachable() {
    return !unreachable;
  }

  synchronized boolean isUnreachable() {
    return unreachable;
  }

  synchronized boolean isSilent() {
    return silent;
  }

  synchronized boolean takeBusy() {
    return busy > 0 && busy-- > 0;
  }

  synchronized boolean takeLostAnswer() {
    return lostAnswers > 0 && lostAnswers-- > 0;
  }

  synchronized boolean takeFailure() {
    return failures > 0 && failures-- > 0;
  }

  synchronized void noteRefusal(RefusalCode code) {
    refusals.merge(code, 1, Integer::sum);
  }

  synchronized void note(Ran statement) {
    ran.add(statement);
  }

  synchronized Position shown() {
    return applied == 0 ? Position.NONE : entries.get(applied - 1).position();
  }

  /** Returns up to where it has the log. */
  public synchronized Position received() {
    return entries.isEmpty() ? Position.NONE : entries.get(entries.size() - 1).position();
  }

  synchronized void append(Entry entry) {
    entries.add(entry);
    applied = entries.size();
  }

  /** Copies the first entries of a log, and shows them. */
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
