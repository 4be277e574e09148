package org.alderyard.proxy.write;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.BackendAnswer;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.view.PoolState;
import org.alderyard.common.view.WriteAcknowledgement;

/** Turns the answer of a primary into an acknowledgement, in the way that the pool asks for. */
final class Acknowledgement {

  private Acknowledgement() {}

  static CompletableFuture<WriteAnswer> of(
      WriteParts parts,
      PoolState pool,
      GroupId group,
      WriteTarget target,
      BackendAnswer answer,
      Duration timeout) {
    WriteAnswer write = new WriteAnswer(answer.result(), target.primary().id(), answer.position());
    if (pool.writeAcknowledgement() == WriteAcknowledgement.PRIMARY_ONLY) {
      requireCurrentTerm(parts, group, target);
      return CompletableFuture.completedFuture(write);
    }
    return parts
        .majority()
        .await(group, target.term(), answer.position().index(), timeout)
        .thenApply(held -> write);
  }

  /**
   * Guards against a primary that slept through its replacement and answers when it wakes: without
   * a majority only our own view can tell, so it must be fresh and still name the term.
   */
  private static void requireCurrentTerm(WriteParts parts, GroupId group, WriteTarget target) {
    boolean current =
        parts.viewLeaseValid().getAsBoolean()
            && PrimaryWaiters.target(parts.views().current(), group, target.term())
                .filter(now -> now.term() == target.term())
                .isPresent();
    if (!current) {
      throw new AlderyardException(
          ErrorCode.PRIMARY_REPLACED,
          Outcome.OUTCOME_UNKNOWN,
          "the write ran on a primary that may have been replaced meanwhile");
    }
  }
}
