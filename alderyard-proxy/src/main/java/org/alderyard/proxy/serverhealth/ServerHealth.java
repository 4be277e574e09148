package org.alderyard.proxy.serverhealth;

import org.alderyard.common.id.ServerId;

/** Health of one incarnation of a server. */
final class ServerHealth {
  private final ServerId id;
  private final long incarnation;
  private final ServerReads reads = new ServerReads();
  private final Ejection ejection;
  private final ServerPace pace;
  private int inFlight;
  private int unansweredInRow;
  private boolean saidCold;

  /**
   * Creates the state of a server without observations.
   *
   * @param phase spreads the trials and first statements of hosts, from 0 to 1
   */
  ServerHealth(ServerId id, long incarnation, double phase) {
    this.id = id;
    this.incarnation = incarnation;
    ejection = new Ejection(phase);
    pace = new ServerPace(phase);
  }

  ServerId id() {
    return id;
  }

  long incarnation() {
    return incarnation;
  }

  ServerReads reads() {
    return reads;
  }

  Ejection ejection() {
    return ejection;
  }

  ServerPace pace() {
    return pace;
  }

  /** Returns whether the server neither is ejected nor has a bound. */
  boolean isRegular() {
    return !ejection.isEjected() && !pace.isBounded();
  }

  void started() {
    inFlight++;
    pace.started();
  }

  void ended() {
    inFlight = Math.max(0, inFlight - 1);
    pace.ended();
  }

  void unanswered() {
    unansweredInRow++;
  }

  /** Records an answer; returns the number of requests without an answer before it. */
  int answered() {
    int before = unansweredInRow;
    unansweredInRow = 0;
    return before;
  }

  /** Records that the server reports a cold start; returns whether this is the first time. */
  boolean reportedCold() {
    boolean first = !saidCold;
    saidCold = true;
    return first;
  }

  /** Returns whether a trial statement may be sent: one at a time from each host. */
  boolean admitsTrial(long nowNanos) {
    return ejection.isTrialDue(nowNanos) && inFlight == 0;
  }
}
