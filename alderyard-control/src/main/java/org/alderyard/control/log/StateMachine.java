package org.alderyard.control.log;

import com.google.protobuf.ByteString;

/**
 * Deterministic state to which the commands of the log are applied. Calls are made in log order, by
 * one thread at a time.
 */
public interface StateMachine {

  /**
   * Checks a command before it is appended to the log. Thread-safe; doesn't depend on the state.
   *
   * @throws EntryRefusedException if no host can carry out the command
   */
  default void check(ByteString command) {}

  /**
   * Applies a committed command; the same commands must produce the same state on every host.
   *
   * @param index the index of the command in the log
   * @param command the serialized command
   * @return the result for the proposer
   * @throws EntryRefusedException if the command can't be carried out; the state is unchanged, and
   *     the log continues. Any other failure stops the log of this host.
   */
  ByteString apply(long index, ByteString command);

  /** Serializes the whole state. */
  ByteString snapshot();

  /** Replaces the whole state with a snapshot taken at the given index. */
  void restore(long index, ByteString snapshot);
}
