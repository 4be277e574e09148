package org.alderyard.proxy.callersession;

import java.util.concurrent.atomic.AtomicLong;

/** Picks one in so many events, so that the routine does not fill the log. */
final class SampledLog {
  private final int oneIn;
  private final AtomicLong count = new AtomicLong();

  /**
   * Creates a sample.
   *
   * @param oneIn of how many events one is logged; 0 logs none
   */
  SampledLog(int oneIn) {
    this.oneIn = oneIn;
  }

  /** Returns whether the next event is one to log. */
  boolean due() {
    return oneIn > 0 && count.getAndIncrement() % oneIn == 0;
  }
}
