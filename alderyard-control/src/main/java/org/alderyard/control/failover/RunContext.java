package org.alderyard.control.failover;

import java.util.Optional;
import java.util.function.Supplier;
import org.alderyard.backend.ServerAdmin;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.View;
import org.alderyard.control.failover.FailoverObserver.Milestone;

/** What the runs of all groups share. */
record RunContext(
    Director director,
    FlapBackoff backoff,
    FailoverTable table,
    Supplier<View> views,
    StepLog steps,
    ServerAdmin admin,
    WorkerPool workers,
    MonotonicClock clock,
    FailoverObserver observer) {

  View view() {
    return views.get();
  }

  Optional<FailoverRecord> record(GroupId group) {
    return table.record(group, view());
  }

  void later(Runnable task) {
    workers.execute(task);
  }

  void reached(GroupId group, long term, Milestone milestone) {
    observer.reached(group, term, milestone, clock.nowNanos());
  }
}
