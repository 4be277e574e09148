package org.alderyard.benchmarks.reads;

import java.util.random.RandomGenerator;
import org.alderyard.proxy.routing.ReadRequest;
import org.alderyard.proxy.routing.ReadRouter;
import org.alderyard.proxy.routing.RoutingDecision;

/** Where a read of the model goes. */
interface ReadPolicy {
  /** The primary. */
  int PRIMARY = -1;

  /** Returns the choice for a read of a session that wrote a while ago. */
  Choice choose(ReadRequest read, long sinceWriteNanos);

  /** Whether the policy checks the position that an answer shows. */
  boolean checksAnswers();

  /**
   * A choice.
   *
   * @param replica the number of the replica, or {@link #PRIMARY}
   * @param waitNanos how long the read may wait for the replica; 0 for not at all
   */
  record Choice(int replica, long waitNanos) {}

  /** Returns the policy of the proxy, with the given budget for waiting. */
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
      public boolean checksAnswers() {
        return true;
      }
    };
  }

  /** Returns the naive rule: the primary for a fixed time after each write, then any replica. */
  static ReadPolicy naive(long windowNanos, int replicas, RandomGenerator random) {
    return new ReadPolicy() {
      @Override
      public Choice choose(ReadRequest read, long sinceWriteNanos) {
        boolean recent = sinceWriteNanos < windowNanos;
        return new Choice(recent ? PRIMARY : random.nextInt(replicas), 0);
      }

      @Override
      public boolean checksAnswers() {
        return false;
      }
    };
  }
}
