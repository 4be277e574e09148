package org.alderyard.control.log;

import com.google.protobuf.ByteString;

/** What the log's commands act on; each call comes from one thread at a time, in log order. */
public interface StateMachine {

  /**
   * Applies a committed command; the same commands give the same state on every host.
   *
   * @param index the place of the command in the log
   * @param command the serialized command
   * @return the answer for the proposer
   */
  ByteString apply(long index, ByteString command);

  /** Returns the whole state. */
  ByteString snapshot();

  /** Replaces the whole state by a snapshot taken at the given index. */
  void restore(long index, ByteString snapshot);
}
