package org.alderyard.protocol.view;

import com.google.protobuf.ByteString;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.protocol.generated.state.ViewDelta;
import org.alderyard.protocol.generated.state.ViewDeltas;
import org.alderyard.protocol.generated.state.ViewSnapshot;

/**
 * A view built from a confirmed snapshot and the deltas after it; immutable.
 *
 * <p>Messages may be lost, repeated or late: what does not continue the chain leaves the view as it
 * is, and the result says why.
 *
 * @param view the view
 * @param chainHash the hash of all deltas up to it
 */
public record ViewFollower(View view, ByteString chainHash) {
  /** A follower that has seen nothing. */
  public static final ViewFollower EMPTY = new ViewFollower(View.EMPTY, ViewChain.START);

  /** What became of a message. */
  public enum Reason {
    /** The view is newer now. */
    ADVANCED,
    /** The message holds nothing newer: a repeated or a late one. */
    NOTHING_NEW,
    /** A delta between is missing. */
    GAP,
    /** The sender's history is not the one of this view. */
    CHAIN_BROKEN,
    /** The objects are not the ones that the sender hashed. */
    CONTENT_DAMAGED
  }

  /**
   * The follower after a message.
   *
   * @param follower the state to go on with
   * @param reason what became of the message
   */
  public record Result(ViewFollower follower, Reason reason) {

    /** Returns whether only a snapshot brings the follower forward. */
    public boolean needsSnapshot() {
      return reason == Reason.GAP
          || reason == Reason.CHAIN_BROKEN
          || reason == Reason.CONTENT_DAMAGED;
    }
  }

  /** Takes a confirmed snapshot, if it is newer. */
  public Result accept(ViewSnapshot snapshot, ByteString snapshotChainHash) {
    ViewVersion version = StateCodec.version(snapshot.getVersion());
    if (version.compareTo(view.version()) <= 0) {
      return new Result(this, Reason.NOTHING_NEW);
    }
    return new Result(
        new ViewFollower(ViewCodec.view(snapshot), snapshotChainHash), Reason.ADVANCED);
  }

  /** Applies deltas in order, up to the first that does not fit. */
  public Result accept(ViewDeltas deltas) {
    ViewFollower current = this;
    Reason reason = Reason.NOTHING_NEW;
    for (ViewDelta delta : deltas.getDeltasList()) {
      Reason fit = current.fit(delta, deltas.getFiltered());
      if (fit == Reason.NOTHING_NEW) {
        continue;
      }
      if (fit != Reason.ADVANCED) {
        return new Result(current, fit);
      }
      reason = fit;
      current = current.apply(delta);
    }
    return new Result(current, reason);
  }

  private Reason fit(ViewDelta delta, boolean filtered) {
    if (StateCodec.version(delta.getTo()).compareTo(view.version()) <= 0) {
      return Reason.NOTHING_NEW;
    }
    if (!StateCodec.version(delta.getFrom()).equals(view.version())) {
      return Reason.GAP;
    }
    if (!ViewChain.continues(chainHash, delta)) {
      return Reason.CHAIN_BROKEN;
    }
    boolean whole =
        filtered || ViewChain.objectsHash(delta.getObjectsList()).equals(delta.getObjectsHash());
    return whole ? Reason.ADVANCED : Reason.CONTENT_DAMAGED;
  }

  private ViewFollower apply(ViewDelta delta) {
    View next = ViewCodec.apply(view, StateCodec.version(delta.getTo()), delta.getObjectsList());
    return new ViewFollower(next, delta.getChainHash());
  }
}
