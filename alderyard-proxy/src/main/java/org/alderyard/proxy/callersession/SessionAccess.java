package org.alderyard.proxy.callersession;

import java.util.Optional;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.backend.session.Refusal;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.common.view.ConfigurationState;
import org.alderyard.common.view.DatabaseState;
import org.alderyard.common.view.View;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What a session may use in the current view. Decided anew for each operation, as each change of
 * the configuration applies from the next operation on.
 */
final class SessionAccess {
  private static final Logger log = LoggerFactory.getLogger(SessionAccess.class);

  private final SessionContext context;
  private final String databaseName;
  private final CallerIdentity identity;

  SessionAccess(SessionContext context, String databaseName, CallerIdentity identity) {
    this.context = context;
    this.databaseName = databaseName;
    this.identity = identity;
  }

  /**
   * The right to begin an operation.
   *
   * @param database the database of the session
   * @param owner the owner of the connections that run the operation
   */
  record Right(DatabaseState database, ConnectionOwner owner) {}

  /** Returns the database of the session, if the current view has it. */
  Optional<DatabaseState> database() {
    return configuration().flatMap(configuration -> configuration.database(databaseName));
  }

  private Optional<ConfigurationState> configuration() {
    return context.views().current().configuration();
  }

  /** Returns the right to begin an operation; empty if there is a {@link #refusal()}. */
  Optional<Right> right() {
    Optional<ConfigurationState> configuration = configuration();
    Optional<DatabaseState> database = database();
    if (configuration.isEmpty() || database.isEmpty()) {
      return Optional.empty();
    }
    return identity
        .owner(configuration.get(), database.get())
        .map(owner -> new Right(database.get(), owner));
  }

  /** Returns why no operation may begin; empty if one may. */
  Optional<Refusal> refusal() {
    View view = context.views().current();
    if (view.configuration().flatMap(known -> known.database(databaseName)).isEmpty()) {
      Refusal refusal = context.unknownDatabase(databaseName);
      logUnknownDatabase(view, refusal);
      return Optional.of(refusal);
    }
    return right().isEmpty() ? Optional.of(unauthorized()) : Optional.empty();
  }

  /** Logs the view of the lookup beside the view that is current when the refusal is decided. */
  private void logUnknownDatabase(View view, Refusal refusal) {
    log.info(
        "event=database-unknown database={} refusal={} configuration={} view={} current-view={}"
            + " current-view-has-it={}",
        databaseName,
        refusal.code(),
        view.configuration().map(ConfigurationState::number).orElse(0L),
        view.version(),
        context.views().current().version(),
        database().isPresent());
  }

  /**
   * Returns whether statements of an open transaction may still run. The transaction keeps the
   * database that it began with, but not the rights of a removed key.
   */
  boolean allows(DatabaseState database, ConnectionOwner owner) {
    return configuration()
        .map(configuration -> identity.owner(configuration, database))
        .filter(current -> !current.equals(Optional.of(owner)))
        .isEmpty();
  }

  /**
   * Returns the refusal of an unknown key. Without a recent confirmation of the view, the key may
   * have been added since, and the caller retries on another host.
   */
  Refusal unauthorized() {
    return context.viewConfirmed().getAsBoolean()
        ? new Refusal(RefusalCode.UNAUTHORIZED, "no organisation has this key")
        : new Refusal(
            RefusalCode.BUSY,
            "the control hosts have not confirmed this host's view, in which no organisation has"
                + " this key");
  }
}
