package org.alderyard.proxy.callersession;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.alderyard.backend.session.Refusal;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionStatement.Prepare;
import org.alderyard.backend.session.SessionStatement.SetValue;

/**
 * The values and prepared statements of one session.
 *
 * <p>They are kept on the caller's host and applied to a server's connection when a statement needs
 * them. Not thread-safe.
 */
final class SessionVariables {
  /**
   * Maximum number of values, and of prepared statements; bounds the memory that one caller can
   * use.
   */
  private static final int MAX_ENTRIES = 1_000;

  private final Map<String, String> values = new LinkedHashMap<>();
  private final Map<String, Prepare> prepared = new HashMap<>();

  /** Sets a value; returns why it can't be set, if so. */
  Optional<Refusal> set(SetValue setValue) {
    if (isFull(values, setValue.name())) {
      return tooMany("values");
    }
    values.put(setValue.name(), setValue.value());
    return Optional.empty();
  }

  /** Stores a prepared statement under its name; returns why it can't be stored, if so. */
  Optional<Refusal> prepare(Prepare prepare) {
    if (isFull(prepared, prepare.name())) {
      return tooMany("prepared statements");
    }
    prepared.put(prepare.name(), prepare);
    return Optional.empty();
  }

  private static boolean isFull(Map<String, ?> entries, String name) {
    return entries.size() >= MAX_ENTRIES && !entries.containsKey(name);
  }

  private static Optional<Refusal> tooMany(String entries) {
    return Optional.of(
        new Refusal(RefusalCode.TOO_LARGE, "a session has at most " + MAX_ENTRIES + " " + entries));
  }

  /** Removes a prepared statement; returns why it can't be removed, if so. */
  Optional<Refusal> deallocate(String name) {
    return prepared.remove(name) == null
        ? Optional.of(new Refusal(RefusalCode.NOT_PREPARED, name))
        : Optional.empty();
  }

  /** Returns the statement that is prepared under a name. */
  Optional<Prepare> prepared(String name) {
    return Optional.ofNullable(prepared.get(name));
  }

  /** Returns the values in the order in which they were first set. */
  Map<String, String> values() {
    return values;
  }
}
