package org.alderyard.proxy.callersession;

import java.util.concurrent.atomic.AtomicLong;

/** Picks one in so many events, so that the routine does not fill the log. */
final class SampledLog {
  private final int oneIn;
  private final AtomicLong count = new AtomicLong();

  SampledLog(int oneIn) {
    this.oneIn = oneIn;
  }

  /** Returns whether the next event is one to log. */
  boolean due() {
    return count.getAndIncrement() % oneIn == 0;
  }
}
