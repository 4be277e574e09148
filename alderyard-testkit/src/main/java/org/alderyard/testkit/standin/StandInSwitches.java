package org.alderyard.testkit.standin;

import com.fasterxml.jackson.databind.JsonNode;

/** Faults of a running stand-in server that a test can set. */
public final class StandInSwitches {
  /** Delay before a replica fetches new entries, in milliseconds. */
  volatile long shipLagMillis;

  /** Delay between receipt and application of a log entry, in milliseconds. */
  volatile long applyLagMillis;

  /** Delay of each response, in milliseconds. */
  volatile long answerDelayMillis;

  /** Time for which a statement occupies its slot, in milliseconds. */
  volatile long serviceMillis;

  /** Drops every n-th statement response and closes its connection; 0 drops none. */
  volatile int dropEveryNth;

  /** Whether every statement response is truncated and its connection closed. */
  volatile boolean truncateAnswers;

  /** Whether a statement receives the previous response of its connection. */
  volatile boolean repeatAnswers;

  /** Whether connections are closed before the request is read, as in a network partition. */
  volatile boolean unreachable;

  /** Sets the faults contained in the body; the other faults keep their values. */
  public void set(JsonNode body) {
    shipLagMillis = body.path("shipLagMillis").asLong(shipLagMillis);
    applyLagMillis = body.path("applyLagMillis").asLong(applyLagMillis);
    answerDelayMillis = body.path("answerDelayMillis").asLong(answerDelayMillis);
    serviceMillis = body.path("serviceMillis").asLong(serviceMillis);
    dropEveryNth = body.path("dropEveryNth").asInt(dropEveryNth);
    truncateAnswers = body.path("truncateAnswers").asBoolean(truncateAnswers);
    repeatAnswers = body.path("repeatAnswers").asBoolean(repeatAnswers);
    unreachable = body.path("unreachable").asBoolean(unreachable);
  }
}
