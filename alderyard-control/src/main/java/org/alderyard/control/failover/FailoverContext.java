package org.alderyard.control.failover;

import java.util.Optional;
import java.util.function.Supplier;
import org.alderyard.backend.ServerAdmin;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.View;
import org.alderyard.control.failover.FailoverObserver.Milestone;

/** The services and state that the runs of all groups share. */
record FailoverContext(
    Director director,
    FlapBackoff backoff,
    FailoverTable table,
    Supplier<View> views,
    StepProposer proposer,
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

  void execute(Runnable task) {
    workers.execute(task);
  }

  void notifyMilestone(GroupId group, long term, Milestone milestone) {
    observer.onMilestone(group, term, milestone, clock.nowNanos());
  }
}
