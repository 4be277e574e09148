package org.alderyard.control.service;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.function.Function;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.control.state.ViewChange;
import org.alderyard.protocol.generated.control.FetchViewReply;

/**
 * Builds replies with the whole view and keeps the last one, which serves all hosts that fetch the
 * same view.
 *
 * <p>The caller has confirmed that the view may be sent. Thread-safe; a lost race only repeats the
 * work.
 */
final class SnapshotReplies {
  private final Function<ViewChange, FetchViewReply> build;
  private volatile Optional<Kept> kept = Optional.empty();

  private record Kept(ViewVersion version, ByteString chainHash, FetchViewReply reply) {
    boolean isOf(ViewChange view) {
      return version.equals(view.view().version()) && chainHash.equals(view.chainHash());
    }
  }

  /**
   * Creates replies without a kept one.
   *
   * @param build builds the reply with a view
   */
  SnapshotReplies(Function<ViewChange, FetchViewReply> build) {
    this.build = build;
  }

  /** Returns the reply with the given view, which is the current one. */
  FetchViewReply of(ViewChange current) {
    Optional<Kept> last = kept;
    if (last.filter(reply -> reply.isOf(current)).isPresent()) {
      return last.get().reply();
    }
    FetchViewReply reply = build.apply(current);
    kept = Optional.of(new Kept(current.view().version(), current.chainHash(), reply));
    return reply;
  }
}
