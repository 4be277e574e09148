package org.alderyard.proxy.callersession;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.log.LogLimiter;
import org.alderyard.common.start.StartLog;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.proxy.admission.AdmissionMode;
import org.alderyard.proxy.admission.DeadlineAdmission;
import org.alderyard.proxy.admission.GroupAdmission;
import org.alderyard.proxy.limit.RetryBudget;
import org.alderyard.proxy.serverhealth.GroupHealth;

/** Admission of the statements of one host. Thread-safe. */
final class HostAdmission {
  /** Time after the start of a host in which the newest statements run first. */
  private static final Duration START_PHASE = Duration.ofSeconds(8);

  private static final int MAX_REFUSAL_LINES_PER_SECOND = 20;

  private final AdmissionMode mode;
  private final MonotonicClock clock;
  private final long createdNanos;
  private final AdmissionMetrics metrics;
  private final RetryBudget retryBudget =
      new RetryBudget(RetryBudget.DEFAULT_SHARE, RetryBudget.DEFAULT_MAX_RESENDS);
  private final LogLimiter refusalLog = new LogLimiter(MAX_REFUSAL_LINES_PER_SECOND);

  HostAdmission(AdmissionMode mode, MonotonicClock clock, PrometheusRegistry registry) {
    this.mode = mode;
    this.clock = clock;
    this.createdNanos = clock.nowNanos();
    this.metrics = new AdmissionMetrics(registry);
  }

  /** Returns whether statements are refused by what is known of their deadlines. */
  boolean usesDeadlines() {
    return mode == AdmissionMode.DEADLINE;
  }

  /** Creates the routing of a group, with the queue of this mode. */
  GroupRouting newRouting(ZoneName zone, StartLog startLog, GroupHealth health) {
    GroupAdmission admission = new GroupAdmission(new DeadlineAdmission());
    WaitingStatements waiting =
        usesDeadlines()
            ? new WaitingStatements(
                new DeadlineStatementQueue(clock, admission::serviceNanos, this::isStarting))
            : new WaitingStatements();
    return new GroupRouting(zone, startLog, health, waiting, admission);
  }

  private boolean isStarting() {
    return clock.nowNanos() - createdNanos < START_PHASE.toNanos();
  }

  /** Records the first attempt of a statement, which adds to the budget of further ones. */
  void recordFirstAttempt() {
    if (usesDeadlines()) {
      retryBudget.recordFirstAttempt();
    }
  }

  /**
   * Returns whether a statement that a server may have run may be sent again; takes it from the
   * budget.
   */
  boolean tryResend() {
    if (!usesDeadlines() || retryBudget.tryResend()) {
      return true;
    }
    metrics.countResendDenied();
    return false;
  }

  /** Returns the budget for all statements that this host sends again. */
  RetryBudget retryBudget() {
    return retryBudget;
  }

  AdmissionMetrics metrics() {
    return metrics;
  }

  LogLimiter refusalLog() {
    return refusalLog;
  }
}
