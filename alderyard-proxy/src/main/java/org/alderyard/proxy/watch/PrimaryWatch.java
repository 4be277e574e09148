package org.alderyard.proxy.watch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.proxy.watch.WatchVerdict.Reason;

/**
 * Failure detector for one primary in one term. It performs no I/O and reads no clock.
 *
 * <p>Not thread-safe; {@link WatcherService} guards each instance by its lock.
 */
public final class PrimaryWatch {
  private final GroupId group;
  private final long term;
  private final ServerId primary;
  private final WatchOptions options;
  private final ResponseWindow responses = new ResponseWindow();
  private final Deque<Long> outstandingSentMillis = new ArrayDeque<>();
  private long nextProbeMillis;
  private int failures;
  private int roleLosses;
  private long suspectedSinceMillis;
  private boolean suspected;

  /** Creates a watch that does not suspect the primary and whose first probe is due immediately. */
  public PrimaryWatch(
      GroupId group, long term, ServerId primary, WatchOptions options, long nowMillis) {
    this.group = group;
    this.term = term;
    this.primary = primary;
    this.options = options;
    this.nextProbeMillis = nowMillis;
  }

  /** Returns the group of the primary. */
  public GroupId group() {
    return group;
  }

  /** Returns the term in which the primary is watched. */
  public long term() {
    return term;
  }

  /** Returns the server that is watched. */
  public ServerId primary() {
    return primary;
  }

  /** Returns for how long the primary has been suspected; 0 if it is not suspected. */
  public long suspectedForMillis(long nowMillis) {
    return suspected ? nowMillis - suspectedSinceMillis : 0;
  }

  /**
   * Returns whether a probe is due, and if so records it as sent.
   *
   * @param intervalMillis the probe interval while no urgent probes are needed
   */
  public boolean tryStartProbe(long nowMillis, long intervalMillis) {
    if (nowMillis < nextProbeMillis || outstandingSentMillis.size() >= options.maxOutstanding()) {
      return false;
    }
    outstandingSentMillis.addLast(nowMillis);
    boolean urgent = verdict(nowMillis).urgent();
    nextProbeMillis = nowMillis + (urgent ? options.urgentProbeMillis() : intervalMillis);
    return true;
  }

  /**
   * Makes the next probe due immediately after a caller's request to the primary failed. The failed
   * request itself does not count as a failure, because verdicts depend only on probes.
   */
  public void requestFailed(long nowMillis) {
    nextProbeMillis = Math.min(nextProbeMillis, nowMillis);
  }

  /** Records an answer of the server as the primary of its term. */
  public void recordAnswer(long sentMillis, long nowMillis) {
    responses.add(nowMillis - sentMillis);
    removeUpTo(sentMillis);
    failures = 0;
    roleLosses = 0;
  }

  /** Records an answer of the server that is not the primary of this term any more. */
  public void recordRoleLost(long sentMillis, long nowMillis) {
    removeUpTo(sentMillis);
    roleLosses++;
    scheduleUrgentProbe(nowMillis);
  }

  /** Records a probe whose connection was refused or lost. */
  public void recordFailure(long sentMillis, long nowMillis) {
    outstandingSentMillis.remove(sentMillis);
    failures++;
    scheduleUrgentProbe(nowMillis);
  }

  /** Records a probe timeout. The time since the probe still counts as unanswered. */
  public void recordTimeout(long sentMillis, long nowMillis) {
    scheduleUrgentProbe(nowMillis);
    if (!outstandingSentMillis.isEmpty() && outstandingSentMillis.peekFirst() != sentMillis) {
      outstandingSentMillis.remove(sentMillis);
    }
  }

  /**
   * Discards outstanding probes and failures after a pause of this process. Answers that were
   * missed during the pause do not indicate a failure of the primary.
   */
  public void resetAfterPause(long nowMillis) {
    outstandingSentMillis.clear();
    failures = 0;
    roleLosses = 0;
    nextProbeMillis = nowMillis;
  }

  /** Evaluates the probe results and returns the verdict on the primary. */
  public WatchVerdict verdict(long nowMillis) {
    Optional<Reason> suspicion = suspicion(nowMillis);
    if (suspicion.isPresent() && !suspected) {
      suspectedSinceMillis = nowMillis;
    }
    suspected = suspicion.isPresent();
    boolean late = unansweredMillis(nowMillis) > options.lateMillis();
    return new WatchVerdict(suspicion, suspected || late || failures > 0 || roleLosses > 0);
  }

  private Optional<Reason> suspicion(long nowMillis) {
    if (failures >= options.failuresToSuspect()) {
      return Optional.of(Reason.UNREACHABLE);
    }
    if (roleLosses >= options.failuresToSuspect()) {
      return Optional.of(Reason.ROLE_LOST);
    }
    long unansweredMillis = unansweredMillis(nowMillis);
    double phi =
        responses.phi(unansweredMillis, options.pauseMillis(), options.minDeviationMillis());
    return unansweredMillis > options.pauseMillis() && phi >= options.phiThreshold()
        ? Optional.of(Reason.SILENT)
        : Optional.empty();
  }

  private long unansweredMillis(long nowMillis) {
    return outstandingSentMillis.isEmpty() ? 0 : nowMillis - outstandingSentMillis.peekFirst();
  }

  /**
   * Removes the answered probe and all older ones: the server was running when the answered probe
   * was sent.
   */
  private void removeUpTo(long sentMillis) {
    while (!outstandingSentMillis.isEmpty() && outstandingSentMillis.peekFirst() <= sentMillis) {
      outstandingSentMillis.removeFirst();
    }
  }

  private void scheduleUrgentProbe(long nowMillis) {
    nextProbeMillis = Math.min(nextProbeMillis, nowMillis + options.urgentProbeMillis());
  }
}
