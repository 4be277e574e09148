package org.alderyard.control.state;

import com.google.protobuf.ByteString;
import java.util.List;
import org.alderyard.common.view.View;
import org.alderyard.protocol.generated.state.ObjectState;

/** Applies committed failover steps. Calls come in log order and never concurrently. */
public interface FailoverHandler {
  /** Ignores every step and has an empty snapshot. */
  FailoverHandler NONE =
      new FailoverHandler() {
        @Override
        public ApplyResult apply(long index, ByteString step, View view) {
          return new ApplyResult(List.of(), ByteString.EMPTY);
        }

        @Override
        public ByteString snapshot() {
          return ByteString.EMPTY;
        }

        @Override
        public void restore(ByteString snapshot) {
          // No state to restore.
        }
      };

  /**
   * Result of applying a step.
   *
   * @param changed the complete new state of each object that the step changed
   * @param reply the reply to the host that proposed the step
   * @param commit changes the handler's state; must not fail
   */
  record ApplyResult(List<ObjectState> changed, ByteString reply, Runnable commit) {

    /** Copies the list of changed objects. */
    public ApplyResult {
      changed = List.copyOf(changed);
    }

    /** Creates the result of a step that doesn't change the handler's state. */
    public ApplyResult(List<ObjectState> changed, ByteString reply) {
      this(changed, reply, () -> {});
    }
  }

  /**
   * Checks whether a step can be read. Thread-safe; doesn't depend on the state.
   *
   * @throws RuntimeException if the step can't be read
   */
  default void check(ByteString step) {}

  /**
   * Returns the result of a step and changes nothing until the result is committed. It must be
   * deterministic: the same steps give the same result on every host.
   */
  ApplyResult apply(long index, ByteString step, View view);

  /** Returns the handler's state, which is stored as a part of the control state's snapshot. */
  ByteString snapshot();

  /** Replaces the handler's state by the state of a snapshot. */
  void restore(ByteString snapshot);
}
