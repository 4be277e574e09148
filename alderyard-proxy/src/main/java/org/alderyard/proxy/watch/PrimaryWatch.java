package org.alderyard.proxy.watch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.proxy.watch.WatchVerdict.Reason;

/**
 * What one watcher knows of one primary in one term; it does no I/O and reads no clock.
 *
 * <p>Not safe for use by several threads; the shell's lock guards it.
 */
public final class PrimaryWatch {
  private final GroupId group;
  private final long term;
  private final ServerId primary;
  private final WatchOptions options;
  private final ResponseWindow responses = new ResponseWindow();
  private final Deque<Long> outstandingSinceMillis = new ArrayDeque<>();
  private long nextProbeMillis;
  private int failures;
  private int losses;
  private long suspectedSinceMillis;
  private boolean suspected;

  /** Creates a watch that trusts the primary and probes it at once. */
  public PrimaryWatch(
      GroupId group, long term, ServerId primary, WatchOptions options, long nowMillis) {
    this.group = group;
    this.term = term;
    this.primary = primary;
    this.options = options;
    this.nextProbeMillis = nowMillis;
  }

  /** Returns the group. */
  public GroupId group() {
    return group;
  }

  /** Returns the term that the primary is watched in. */
  public long term() {
    return term;
  }

  /** Returns the primary. */
  public ServerId primary() {
    return primary;
  }

  /** Returns for how long the primary has been suspected. */
  public long suspectedForMillis(long nowMillis) {
    return suspected ? nowMillis - suspectedSinceMillis : 0;
  }

  /** Returns whether to send a probe now, and notes it as sent. */
  public boolean takeProbe(long nowMillis, long paceMillis) {
    if (nowMillis < nextProbeMillis || outstandingSinceMillis.size() >= options.maxOutstanding()) {
      return false;
    }
    outstandingSinceMillis.addLast(nowMillis);
    boolean urgent = verdict(nowMillis).urgent();
    nextProbeMillis = nowMillis + (urgent ? options.urgentProbeMillis() : paceMillis);
    return true;
  }

  /** A caller's request to the primary failed: look at once, but judge by probes alone. */
  public void requestFailed(long nowMillis) {
    nextProbeMillis = Math.min(nextProbeMillis, nowMillis);
  }

  /** The primary answered a probe as the primary of its term. */
  public void answered(long sentMillis, long nowMillis) {
    responses.add(nowMillis - sentMillis);
    settle(sentMillis);
    failures = 0;
    losses = 0;
  }

  /** The server answered, but is no primary of this term any more. */
  public void lostRole(long sentMillis, long nowMillis) {
    settle(sentMillis);
    losses++;
    hurry(nowMillis);
  }

  /** The connection was refused or broke. */
  public void failed(long sentMillis, long nowMillis) {
    outstandingSinceMillis.remove(sentMillis);
    failures++;
    hurry(nowMillis);
  }

  /** No answer came in time: the time since the probe goes on to count as silence. */
  public void timedOut(long sentMillis, long nowMillis) {
    hurry(nowMillis);
    if (!outstandingSinceMillis.isEmpty() && outstandingSinceMillis.peekFirst() != sentMillis) {
      outstandingSinceMillis.remove(sentMillis);
    }
  }

  /** This process stood still: what it did not hear meanwhile says nothing of the primary. */
  public void watcherPaused(long nowMillis) {
    outstandingSinceMillis.clear();
    failures = 0;
    losses = 0;
    nextProbeMillis = nowMillis;
  }

  /** Returns what to think of the primary now. */
  public WatchVerdict verdict(long nowMillis) {
    Optional<Reason> suspicion = judge(nowMillis);
    if (suspicion.isPresent() && !suspected) {
      suspectedSinceMillis = nowMillis;
    }
    suspected = suspicion.isPresent();
    boolean late = waitedMillis(nowMillis) > options.lateMillis();
    return new WatchVerdict(suspicion, suspected || late || failures > 0 || losses > 0);
  }

  private Optional<Reason> judge(long nowMillis) {
    if (failures >= options.failuresToSuspect()) {
      return Optional.of(Reason.UNREACHABLE);
    }
    if (losses >= options.failuresToSuspect()) {
      return Optional.of(Reason.ROLE_LOST);
    }
    long waitedMillis = waitedMillis(nowMillis);
    double phi = responses.phi(waitedMillis, options.pauseMillis(), options.minDeviationMillis());
    return waitedMillis > options.pauseMillis() && phi >= options.phiThreshold()
        ? Optional.of(Reason.SILENT)
        : Optional.empty();
  }

  private long waitedMillis(long nowMillis) {
    return outstandingSinceMillis.isEmpty() ? 0 : nowMillis - outstandingSinceMillis.peekFirst();
  }

  /** An answer to a probe shows that the server lived when it was sent, so older ones are moot. */
  private void settle(long sentMillis) {
    while (!outstandingSinceMillis.isEmpty() && outstandingSinceMillis.peekFirst() <= sentMillis) {
      outstandingSinceMillis.removeFirst();
    }
  }

  private void hurry(long nowMillis) {
    nextProbeMillis = Math.min(nextProbeMillis, nowMillis + options.urgentProbeMillis());
  }
}
