package org.alderyard.backend;

import java.util.Objects;

/**
 * The organisation in whose name a connection to a backend server is opened. The connection runs
 * statements of this organisation only.
 *
 * @param organisation the name of the organisation; empty for connections of the system itself and
 *     of callers without an organisation
 */
public record ConnectionOwner(String organisation) {
  /** The owner of connections that belong to no organisation. */
  public static final ConnectionOwner NONE = new ConnectionOwner("");

  /** Rejects a null name. */
  public ConnectionOwner {
    Objects.requireNonNull(organisation);
  }

  /** Returns whether the connection belongs to an organisation. */
  public boolean isOrganisation() {
    return !organisation.isEmpty();
  }
}
