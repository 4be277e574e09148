package org.alderyard.backend.session;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.alderyard.common.id.Position;

/**
 * The answer to one statement.
 *
 * @param rows the rows
 * @param proof what shows that a server ran it, as the server wrote it; empty if it ran on none
 * @param refusal why it has no success
 * @param state the session's state after it
 * @param position up to where the server's reads show its log
 */
public record SessionReply(
    List<String> rows,
    Optional<String> proof,
    Optional<Refusal> refusal,
    TransactionState state,
    Optional<Position> position) {

  /** Copies. */
  public SessionReply {
    rows = List.copyOf(rows);
    Objects.requireNonNull(proof);
    Objects.requireNonNull(refusal);
    Objects.requireNonNull(state);
    Objects.requireNonNull(position);
  }

  /** Returns a success that the system gives without a server. */
  public static SessionReply done(TransactionState state) {
    return new SessionReply(List.of(), Optional.empty(), Optional.empty(), state, Optional.empty());
  }

  /** Returns a refusal. */
  public static SessionReply refused(RefusalCode code, String text, TransactionState state) {
    return new SessionReply(
        List.of(), Optional.empty(), Optional.of(new Refusal(code, text)), state, Optional.empty());
  }

  /** Returns whether the statement succeeded. */
  public boolean succeeded() {
    return refusal.isEmpty();
  }

  /** Returns whether it was refused with this code. */
  public boolean refusedWith(RefusalCode code) {
    return refusal.isPresent() && refusal.get().code() == code;
  }

  /** Returns the same answer with another state, as a caller's session is in another one. */
  public SessionReply inState(TransactionState other) {
    return new SessionReply(rows, proof, refusal, other, position);
  }
}
