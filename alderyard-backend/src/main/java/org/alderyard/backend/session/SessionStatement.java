package org.alderyard.backend.session;

import java.util.Objects;
import java.util.Optional;
import org.alderyard.backend.StatementKind;

/** A statement of a session, sent to a proxy or a backend server. */
public sealed interface SessionStatement {

  /** Opens a transaction; a read-only transaction may run on a replica. */
  record Begin(boolean readOnly) implements SessionStatement {}

  /** Commits the transaction. */
  record Commit() implements SessionStatement {}

  /** Rolls back the transaction. */
  record Rollback() implements SessionStatement {}

  /** Reads an item. */
  record Read(String item) implements SessionStatement {

    /** Rejects null components. */
    public Read {
      Objects.requireNonNull(item);
    }
  }

  /** Writes an item. */
  record Write(String item, String data) implements SessionStatement {

    /** Rejects null components. */
    public Write {
      Objects.requireNonNull(item);
      Objects.requireNonNull(data);
    }
  }

  /** Sets a session value. */
  record SetValue(String name, String value) implements SessionStatement {

    /** Rejects null components. */
    public SetValue {
      Objects.requireNonNull(name);
      Objects.requireNonNull(value);
    }
  }

  /** Prepares a statement with the given text under a name. */
  record Prepare(String name, StatementKind kind, String shape) implements SessionStatement {

    /** Rejects null components. */
    public Prepare {
      Objects.requireNonNull(name);
      Objects.requireNonNull(kind);
      Objects.requireNonNull(shape);
    }
  }

  /** Runs a prepared statement; data is present for a write. */
  record Execute(String name, String item, Optional<String> data) implements SessionStatement {

    /** Rejects null components. */
    public Execute {
      Objects.requireNonNull(name);
      Objects.requireNonNull(item);
      Objects.requireNonNull(data);
    }
  }

  /** Removes a prepared statement. */
  record Deallocate(String name) implements SessionStatement {

    /** Rejects null components. */
    public Deallocate {
      Objects.requireNonNull(name);
    }
  }

  /** Clears the session values and prepared statements; accepted by backend servers only. */
  record Reset() implements SessionStatement {}

  /** Queries a server's role and log position; accepted by backend servers only. */
  record Report() implements SessionStatement {}

  /**
   * Stops a replica from receiving commits; accepted by backend servers only.
   *
   * @param term a term greater than the newest term of the group
   */
  record Pause(long term) implements SessionStatement {}

  /** Lets a paused replica receive commits again; accepted by backend servers only. */
  record Resume() implements SessionStatement {}

  /** A text that is not a valid statement. */
  record Unreadable(String reason) implements SessionStatement {}
}
