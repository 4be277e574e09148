package org.alderyard.benchmarks.reads;

import java.util.random.RandomGenerator;
import org.alderyard.proxy.routing.ReadRequest;
import org.alderyard.proxy.routing.ReadRouter;
import org.alderyard.proxy.routing.RoutingDecision;

/** Chooses the server of a simulated read. */
interface ReadPolicy {
  /** Replica number that denotes the primary. */
  int PRIMARY = -1;

  /** Chooses the server for a read, given the time since the last write of the session. */
  Choice choose(ReadRequest read, long sinceWriteNanos);

  /**
   * Returns whether stale responses of replicas are detected by position and retried at the
   * primary.
   */
  boolean checksResponses();

  /**
   * The chosen server and wait time.
   *
   * @param replica the number of the replica, or {@link #PRIMARY}
   * @param waitNanos maximum time to wait for the replica, in nanoseconds; 0 sends immediately
   */
  record Choice(int replica, long waitNanos) {}

  /** Returns the production policy of the proxy, based on the given router. */
  static ReadPolicy router(ReadRouter router) {
    return new ReadPolicy() {
      @Override
      public Choice choose(ReadRequest read, long sinceWriteNanos) {
        RoutingDecision decision = router.decide(read);
        if (!decision.reason().replica()) {
          return new Choice(PRIMARY, 0);
        }
        String id = decision.serverOrThrow().id().value();
        int replica = Integer.parseInt(id.substring(id.length() - 1)) - 1;
        return new Choice(replica, decision.waitFor().isPresent() ? decision.waitNanos() : 0);
      }

      @Override
      public boolean checksResponses() {
        return true;
      }
    };
  }

  /**
   * Returns a naive policy: the primary for a fixed time after each write, otherwise any replica.
   */
  static ReadPolicy naive(long windowNanos, int replicas, RandomGenerator random) {
    return new ReadPolicy() {
      @Override
      public Choice choose(ReadRequest read, long sinceWriteNanos) {
        boolean recent = sinceWriteNanos < windowNanos;
        return new Choice(recent ? PRIMARY : random.nextInt(replicas), 0);
      }

      @Override
      public boolean checksResponses() {
        return false;
      }
    };
  }
}
