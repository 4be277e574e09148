package org.alderyard.daemon;

import org.alderyard.common.time.MonotonicClock;
import org.alderyard.proxy.limit.LoopAdmission;
import org.xnio.XnioIoThread;

/** The admission of each I/O thread, whose rounds end when it runs its queued tasks. */
final class IoRounds {
  private final MonotonicClock clock;
  private final ThreadLocal<LoopAdmission> admissions =
      ThreadLocal.withInitial(IoRounds::ofThisThread);

  IoRounds(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Returns whether the calling thread may begin another request now. */
  boolean admits() {
    return !(Thread.currentThread() instanceof XnioIoThread)
        || admissions.get().admits(clock.nowNanos());
  }

  private static LoopAdmission ofThisThread() {
    XnioIoThread thread = (XnioIoThread) Thread.currentThread();
    LoopAdmission[] self = new LoopAdmission[1];
    self[0] = new LoopAdmission(() -> thread.execute(() -> self[0].roundEnded()));
    return self[0];
  }
}
