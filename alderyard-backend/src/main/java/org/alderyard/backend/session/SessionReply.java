package org.alderyard.backend.session;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.alderyard.common.id.Position;

/**
 * Reply to one statement.
 *
 * @param rows the result rows; may be empty
 * @param proof the server's proof that it ran the statement, unchanged; empty if no server ran it
 * @param refusal why the statement did not succeed; empty on success
 * @param state the session's transaction state after the statement
 * @param position the log position up to which the server's reads are current
 */
public record SessionReply(
    List<String> rows,
    Optional<String> proof,
    Optional<Refusal> refusal,
    TransactionState state,
    Optional<Position> position) {

  /** Rejects null components and copies the list. */
  public SessionReply {
    rows = List.copyOf(rows);
    Objects.requireNonNull(proof);
    Objects.requireNonNull(refusal);
    Objects.requireNonNull(state);
    Objects.requireNonNull(position);
  }

  /** Returns a successful reply that no backend server was involved in. */
  public static SessionReply success(TransactionState state) {
    return new SessionReply(List.of(), Optional.empty(), Optional.empty(), state, Optional.empty());
  }

  /** Returns a reply that refuses the statement. */
  public static SessionReply refused(RefusalCode code, String text, TransactionState state) {
    return new SessionReply(
        List.of(), Optional.empty(), Optional.of(new Refusal(code, text)), state, Optional.empty());
  }

  /** Returns whether the statement succeeded. */
  public boolean succeeded() {
    return refusal.isEmpty();
  }

  /** Returns whether the statement was refused with this code. */
  public boolean refusedWith(RefusalCode code) {
    return refusal.isPresent() && refusal.get().code() == code;
  }

  /** Returns this reply with the state of the caller's session, which may differ. */
  public SessionReply withState(TransactionState other) {
    return new SessionReply(rows, proof, refusal, other, position);
  }
}
