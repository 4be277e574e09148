package org.alderyard.testkit.standin;

import com.fasterxml.jackson.databind.JsonNode;

/** The faults of a stand-in server that a test can set while it runs. */
public final class StandInSwitches {
  /** How long a replica waits before it fetches new entries, in milliseconds. */
  volatile long shipLagMillis;

  /** How long a held entry waits before reads show it, in milliseconds. */
  volatile long applyLagMillis;

  /** How long each answer is held back, in milliseconds. */
  volatile long answerDelayMillis;

  /** How long a statement occupies its slot, in milliseconds. */
  volatile long serviceMillis;

  /** Every n-th answer of a statement is dropped with its connection; 0 for none. */
  volatile int dropEveryNth;

  /** Whether every answer is cut off in the middle. */
  volatile boolean truncateAnswers;

  /** Whether a statement is answered with the answer before it on its connection. */
  volatile boolean repeatAnswers;

  /** Whether every connection is closed before its request is read: a cut network. */
  volatile boolean unreachable;

  /** Sets the switches that the body names and leaves the others. */
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
