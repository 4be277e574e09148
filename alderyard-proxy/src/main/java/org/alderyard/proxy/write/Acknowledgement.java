package org.alderyard.proxy.write;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.BackendResponse;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.view.PoolState;
import org.alderyard.common.view.WriteAcknowledgement;

/** Acknowledges a write that a primary has run, in the mode that its pool requires. */
final class Acknowledgement {

  private Acknowledgement() {}

  static CompletableFuture<WriteAnswer> of(
      WriteContext context,
      PoolState pool,
      GroupId group,
      WriteTarget target,
      BackendResponse response,
      Duration timeout) {
    WriteAnswer writeAnswer =
        new WriteAnswer(response.result(), target.primary().id(), response.position());
    if (pool.writeAcknowledgement() == WriteAcknowledgement.PRIMARY_ONLY) {
      requireCurrentTerm(context, group, target);
      return CompletableFuture.completedFuture(writeAnswer);
    }
    return context
        .acknowledger()
        .await(group, target.term(), response.position().index(), timeout)
        .thenApply(ignored -> writeAnswer);
  }

  /**
   * Fails the write unless the current view is valid and still names the term of the primary.
   *
   * <p>A suspended primary may be replaced and answer after it resumes. Without a majority, only
   * the proxy's own view can show the replacement.
   */
  private static void requireCurrentTerm(WriteContext context, GroupId group, WriteTarget target) {
    boolean current =
        context.viewLeaseValid().getAsBoolean()
            && PrimaryWaitQueue.findTarget(context.views().current(), group, target.term())
                .filter(currentTarget -> currentTarget.term() == target.term())
                .isPresent();
    if (!current) {
      throw new AlderyardException(
          ErrorCode.PRIMARY_REPLACED,
          Outcome.OUTCOME_UNKNOWN,
          "the write ran on a primary that may have been replaced since");
    }
  }
}
