package org.alderyard.cli.load;

import java.util.random.RandomGenerator;

/** The shares of actions in a workload. */
public enum Mix {
  /** Seminar listings: nearly all browsing, a few changes that are read back at once. */
  BRAZOS(95, 2, 3),
  /** Orders: every second action is a write that must run once. */
  LE_GOFF(20, 30, 50);

  private static final int PERCENT = 100;

  private final int browsePercent;
  private final int sessionReadPercent;

  Mix(int browsePercent, int sessionReadPercent, int writePercent) {
    if (browsePercent + sessionReadPercent + writePercent != PERCENT) {
      throw new IllegalArgumentException("shares must add up to 100");
    }
    this.browsePercent = browsePercent;
    this.sessionReadPercent = sessionReadPercent;
  }

  Action next(RandomGenerator random) {
    int draw = random.nextInt(PERCENT);
    if (draw < browsePercent) {
      return Action.BROWSE;
    }
    return draw < browsePercent + sessionReadPercent ? Action.SESSION_READ : Action.CHANGE;
  }

  /** What one arrival does. */
  enum Action {
    /** A read that accepts data of a stated age. */
    BROWSE,
    /** A read that must show the session's own changes. */
    SESSION_READ,
    /** A write, and the session's read of it through another proxy right after. */
    CHANGE
  }
}
