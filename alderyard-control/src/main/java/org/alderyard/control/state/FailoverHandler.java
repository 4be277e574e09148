package org.alderyard.control.state;

import com.google.protobuf.ByteString;
import java.util.List;
import org.alderyard.common.view.View;
import org.alderyard.protocol.generated.state.ObjectState;

/** Applies the committed steps of failovers; called from one thread at a time, in log order. */
public interface FailoverHandler {
  /** A handler that ignores every step. */
  FailoverHandler NONE =
      new FailoverHandler() {
        @Override
        public Applied apply(long index, ByteString step, View view) {
          return new Applied(List.of(), ByteString.EMPTY);
        }

        @Override
        public ByteString snapshot() {
          return ByteString.EMPTY;
        }

        @Override
        public void restore(ByteString snapshot) {
          // Holds nothing.
        }
      };

  /**
   * What a step did.
   *
   * @param changed the whole new state of each object that it changed
   * @param answer the answer for the proposer
   */
  record Applied(List<ObjectState> changed, ByteString answer) {

    /** Copies. */
    public Applied {
      changed = List.copyOf(changed);
    }
  }

  /** Applies a step; the same steps give the same result on every host. */
  Applied apply(long index, ByteString step, View view);

  /** Returns what the handler remembers, as a part of the snapshot of the control state. */
  ByteString snapshot();

  /** Replaces what the handler remembers. */
  void restore(ByteString snapshot);
}
