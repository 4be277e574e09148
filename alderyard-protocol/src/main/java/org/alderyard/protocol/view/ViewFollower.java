package org.alderyard.protocol.view;

import com.google.protobuf.ByteString;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.protocol.generated.state.ViewDelta;
import org.alderyard.protocol.generated.state.ViewDeltas;
import org.alderyard.protocol.generated.state.ViewSnapshot;

/**
 * A view that is built from a confirmed snapshot and the deltas after it; immutable.
 *
 * <p>Messages may be lost, repeated or late. A message that does not continue the hash chain leaves
 * the view unchanged, and the result contains the reason.
 *
 * @param view the view
 * @param chainHash the hash of all deltas up to the version of the view
 */
public record ViewFollower(View view, ByteString chainHash) {
  /** A follower that has not received any message. */
  public static final ViewFollower EMPTY = new ViewFollower(View.EMPTY, ViewChain.START);

  /** The effect of a message. */
  public enum Reason {
    /** The view has advanced to a newer version. */
    ADVANCED,
    /** The message contains nothing newer, because it is repeated or late. */
    NOTHING_NEW,
    /** A delta between the view and the message is missing. */
    GAP,
    /** The sender's history differs from the history of this view. */
    CHAIN_BROKEN,
    /** The objects do not match the hash of the sender. */
    CONTENT_DAMAGED
  }

  /**
   * The follower after a message.
   *
   * @param follower the follower to continue with
   * @param reason the effect of the message
   */
  public record Result(ViewFollower follower, Reason reason) {

    /** Returns whether the follower needs a snapshot to advance. */
    public boolean needsSnapshot() {
      return reason == Reason.GAP
          || reason == Reason.CHAIN_BROKEN
          || reason == Reason.CONTENT_DAMAGED;
    }
  }

  /** Replaces the view by a confirmed snapshot, if the snapshot is newer. */
  public Result accept(ViewSnapshot snapshot, ByteString snapshotChainHash) {
    ViewVersion version = StateCodec.version(snapshot.getVersion());
    if (version.compareTo(view.version()) <= 0) {
      return new Result(this, Reason.NOTHING_NEW);
    }
    return new Result(
        new ViewFollower(ViewCodec.view(snapshot), snapshotChainHash), Reason.ADVANCED);
  }

  /**
   * Applies deltas in order, up to the first one that does not continue the chain.
   *
   * <p>Filtered deltas are applied all or none, as a delta may lack an object that a later one
   * replaces.
   */
  public Result accept(ViewDeltas deltas) {
    ViewFollower current = this;
    Reason reason = Reason.NOTHING_NEW;
    for (ViewDelta delta : deltas.getDeltasList()) {
      Reason effect = current.check(delta, deltas.getFiltered());
      if (effect == Reason.NOTHING_NEW) {
        continue;
      }
      if (effect != Reason.ADVANCED) {
        return new Result(deltas.getFiltered() ? this : current, effect);
      }
      reason = effect;
      current = current.apply(delta);
    }
    return new Result(current, reason);
  }

  private Reason check(ViewDelta delta, boolean filtered) {
    if (StateCodec.version(delta.getTo()).compareTo(view.version()) <= 0) {
      return Reason.NOTHING_NEW;
    }
    if (!StateCodec.version(delta.getFrom()).equals(view.version())) {
      return Reason.GAP;
    }
    if (!ViewChain.continues(chainHash, delta)) {
      return Reason.CHAIN_BROKEN;
    }
    boolean intact =
        filtered || ViewChain.objectsHash(delta.getObjectsList()).equals(delta.getObjectsHash());
    return intact ? Reason.ADVANCED : Reason.CONTENT_DAMAGED;
  }

  private ViewFollower apply(ViewDelta delta) {
    View next = ViewCodec.apply(view, StateCodec.version(delta.getTo()), delta.getObjectsList());
    return new ViewFollower(next, delta.getChainHash());
  }
}
