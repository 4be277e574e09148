package org.alderyard.protocol.view;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.List;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.generated.state.Version;
import org.alderyard.protocol.generated.state.ViewDelta;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * The chain of hashes over all deltas.
 *
 * <p>Two views with the same chain hash are the result of the same changes in the same order, so a
 * host may follow any source whose chain continues its own.
 */
public final class ViewChain {
  /** The chain hash of the empty view. */
  public static final ByteString START = ByteString.EMPTY;

  private static final int VERSION_BYTES = 4 * Long.BYTES;

  private ViewChain() {}

  /** Returns the delta between two versions, linked to the chain before it. */
  public static ViewDelta link(
      ByteString before, Version from, Version to, List<ObjectState> objects) {
    ByteString objectsHash = objectsHash(objects);
    return ViewDelta.newBuilder()
        .setFrom(from)
        .setTo(to)
        .addAllObjects(objects)
        .setObjectsHash(objectsHash)
        .setChainHash(next(before, from, to, objectsHash))
        .build();
  }

  /** Returns whether a delta continues the chain whose hash is given. */
  public static boolean continues(ByteString before, ViewDelta delta) {
    return next(before, delta.getFrom(), delta.getTo(), delta.getObjectsHash())
        .equals(delta.getChainHash());
  }

  /** Returns the hash of changed objects. */
  public static ByteString objectsHash(List<ObjectState> objects) {
    byte[] bytes = ViewDelta.newBuilder().addAllObjects(objects).build().toByteArray();
    return ByteString.copyFrom(DigestUtils.sha256(bytes));
  }

  private static ByteString next(
      ByteString before, Version from, Version to, ByteString objectsHash) {
    ByteBuffer versions =
        ByteBuffer.allocate(VERSION_BYTES)
            .putLong(from.getEpoch())
            .putLong(from.getVersion())
            .putLong(to.getEpoch())
            .putLong(to.getVersion())
            .flip();
    ByteString input = before.concat(ByteString.copyFrom(versions)).concat(objectsHash);
    return ByteString.copyFrom(DigestUtils.sha256(input.toByteArray()));
  }
}
