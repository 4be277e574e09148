package org.alderyard.proxy.write;

import java.util.concurrent.CompletableFuture;
import org.alderyard.common.view.ServerState;

/** Decides when a write may be sent to its primary; by default at once. */
@FunctionalInterface
public interface WriteAdmission {
  /** Lets every write go at once. */
  WriteAdmission OPEN =
      (request, primary, deadlineNanos) -> CompletableFuture.completedFuture(new OpenTurn());

  /**
   * Asks to send a write.
   *
   * @return a turn that the write must end; fails as {@code NOT_RUN} as soon as it is known that
   *     the write will not be sent
   */
  CompletableFuture<Turn> enter(WriteRequest request, ServerState primary, long deadlineNanos);

  /** The right to send one write; ended exactly once. */
  interface Turn {

    /** Ends it; whether the server answered tells how loaded the server is. */
    void end(boolean answered);

    /** Ends it without a statement having been sent. */
    void notSent();
  }

  /** A turn that nobody waits for. */
  record OpenTurn() implements Turn {
    @Override
    public void end(boolean answered) {
      // No gate counts it.
    }

    @Override
    public void notSent() {
      // No gate counts it.
    }
  }
}
