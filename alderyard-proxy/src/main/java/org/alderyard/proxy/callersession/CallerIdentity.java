package org.alderyard.proxy.callersession;

import java.util.Optional;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.common.view.Bytes;
import org.alderyard.common.view.ConfigurationState;
import org.alderyard.common.view.DatabaseState;
import org.alderyard.common.view.KeyDigest;
import org.alderyard.common.view.OrganisationState;

/**
 * What a caller has presented to identify itself.
 *
 * <p>Only the digest of the key is kept. The organisation is looked up again for each operation, so
 * that a removed key loses its rights on open sessions.
 */
public final class CallerIdentity {
  /** A caller without a key. */
  public static final CallerIdentity ANONYMOUS = new CallerIdentity(Optional.empty());

  private final Optional<Bytes> keyDigest;

  private CallerIdentity(Optional<Bytes> keyDigest) {
    this.keyDigest = keyDigest;
  }

  /** Returns the identity of a caller with this key; anonymous if the key is empty. */
  public static CallerIdentity ofKey(byte[] key) {
    return key.length == 0 ? ANONYMOUS : new CallerIdentity(Optional.of(KeyDigest.of(key)));
  }

  /** Returns the organisation that holds the caller's key. */
  Optional<OrganisationState> organisation(ConfigurationState configuration) {
    return keyDigest.flatMap(configuration.organisations()::byKeyDigest);
  }

  /**
   * Returns the owner of the connections that run the caller's statements.
   *
   * @return empty if the caller may not use the database
   */
  Optional<ConnectionOwner> owner(ConfigurationState configuration, DatabaseState database) {
    if (!configuration.organisations().requiresKeys()) {
      return Optional.of(ConnectionOwner.NONE);
    }
    Optional<ConnectionOwner> organisation =
        organisation(configuration).map(found -> new ConnectionOwner(found.name()));
    return organisation.isEmpty() && database.publicAccess()
        ? Optional.of(ConnectionOwner.NONE)
        : organisation;
  }
}
