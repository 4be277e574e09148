package org.alderyard.cli.load;

import java.util.random.RandomGenerator;

/** The proportions of actions in a workload. */
public enum WorkloadMix {
  /** Seminar listings: mostly browsing, with a few changes that are immediately read back. */
  BRAZOS(95, 2, 3),
  /** Orders: half of the actions are writes that must run exactly once. */
  LE_GOFF(20, 30, 50);

  private static final int PERCENT = 100;

  private final int browsePercent;
  private final int sessionReadPercent;

  WorkloadMix(int browsePercent, int sessionReadPercent, int writePercent) {
    if (browsePercent + sessionReadPercent + writePercent != PERCENT) {
      throw new IllegalArgumentException("percentages of a workload must add up to 100");
    }
    this.browsePercent = browsePercent;
    this.sessionReadPercent = sessionReadPercent;
  }

  Action next(RandomGenerator random) {
    int randomPercent = random.nextInt(PERCENT);
    if (randomPercent < browsePercent) {
      return Action.BROWSE;
    }
    return randomPercent < browsePercent + sessionReadPercent ? Action.SESSION_READ : Action.CHANGE;
  }

  /** The kind of an action. */
  enum Action {
    /** A read that accepts bounded staleness. */
    BROWSE,
    /** A read that requires the session's own writes. */
    SESSION_READ,
    /** A write that the session immediately reads back through another proxy. */
    CHANGE
  }
}
