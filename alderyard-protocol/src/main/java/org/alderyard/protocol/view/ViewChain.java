package org.alderyard.protocol.view;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.List;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.generated.state.Version;
import org.alderyard.protocol.generated.state.ViewDelta;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * The hash chain over all deltas of the view.
 *
 * <p>Two views with the same chain hash result from the same changes in the same order. A host may
 * therefore switch to any source whose chain continues the chain of its own view.
 */
public final class ViewChain {
  /** The chain hash of the empty view. */
  public static final ByteString START = ByteString.EMPTY;

  private static final int VERSION_BYTES = 4 * Long.BYTES;

  private ViewChain() {}

  /** Returns the delta between two versions, with the chain hash that follows the given one. */
  public static ViewDelta link(
      ByteString previousHash, Version from, Version to, List<ObjectState> objects) {
    ByteString objectsHash = objectsHash(objects);
    return ViewDelta.newBuilder()
        .setFrom(from)
        .setTo(to)
        .addAllObjects(objects)
        .setObjectsHash(objectsHash)
        .setChainHash(nextHash(previousHash, from, to, objectsHash))
        .build();
  }

  /** Returns whether a delta continues the chain with the given hash. */
  public static boolean continues(ByteString previousHash, ViewDelta delta) {
    return nextHash(previousHash, delta.getFrom(), delta.getTo(), delta.getObjectsHash())
        .equals(delta.getChainHash());
  }

  /** Returns the hash of the changed objects. */
  public static ByteString objectsHash(List<ObjectState> objects) {
    byte[] bytes = ViewDelta.newBuilder().addAllObjects(objects).build().toByteArray();
    return ByteString.copyFrom(DigestUtils.sha256(bytes));
  }

  private static ByteString nextHash(
      ByteString previousHash, Version from, Version to, ByteString objectsHash) {
    ByteBuffer versions =
        ByteBuffer.allocate(VERSION_BYTES)
            .putLong(from.getEpoch())
            .putLong(from.getVersion())
            .putLong(to.getEpoch())
            .putLong(to.getVersion())
            .flip();
    ByteString input = previousHash.concat(ByteString.copyFrom(versions)).concat(objectsHash);
    return ByteString.copyFrom(DigestUtils.sha256(input.toByteArray()));
  }
}
