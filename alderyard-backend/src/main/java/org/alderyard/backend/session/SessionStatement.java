package org.alderyard.backend.session;

import java.util.Objects;
import java.util.Optional;
import org.alderyard.backend.StatementKind;

/** What can be asked in a session, of a proxy or of a backend server. */
public sealed interface SessionStatement {

  /** Opens a transaction; a read-only one may run on a replica. */
  record Begin(boolean readOnly) implements SessionStatement {}

  /** Ends the transaction and keeps what it wrote. */
  record Commit() implements SessionStatement {}

  /** Ends the transaction and keeps nothing. */
  record Rollback() implements SessionStatement {}

  /** Reads an item. */
  record Read(String item) implements SessionStatement {

    /** Checks. */
    public Read {
      Objects.requireNonNull(item);
    }
  }

  /** Writes an item. */
  record Write(String item, String data) implements SessionStatement {

    /** Checks. */
    public Write {
      Objects.requireNonNull(item);
      Objects.requireNonNull(data);
    }
  }

  /** Sets a value of the session. */
  record SetValue(String name, String value) implements SessionStatement {

    /** Checks. */
    public SetValue {
      Objects.requireNonNull(name);
      Objects.requireNonNull(value);
    }
  }

  /** Names a statement of a shape, to be executed by its name. */
  record Prepare(String name, StatementKind kind, String shape) implements SessionStatement {

    /** Checks. */
    public Prepare {
      Objects.requireNonNull(name);
      Objects.requireNonNull(kind);
      Objects.requireNonNull(shape);
    }
  }

  /** Runs a prepared statement; one that writes has data. */
  record Execute(String name, String item, Optional<String> data) implements SessionStatement {

    /** Checks. */
    public Execute {
      Objects.requireNonNull(name);
      Objects.requireNonNull(item);
      Objects.requireNonNull(data);
    }
  }

  /** Forgets a prepared statement. */
  record Deallocate(String name) implements SessionStatement {

    /** Checks. */
    public Deallocate {
      Objects.requireNonNull(name);
    }
  }

  /** Clears the values and prepared statements of a connection; only servers take it. */
  record Reset() implements SessionStatement {}

  /** Asks a server what it is and holds; only servers take it. */
  record Report() implements SessionStatement {}

  /** A text that is no statement. */
  record Unreadable(String reason) implements SessionStatement {}
}
