package org.alderyard.proxy.callersession;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.backend.session.Refusal;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.common.log.LogText;
import org.alderyard.common.view.ConfigurationState;
import org.alderyard.common.view.DatabaseState;
import org.alderyard.common.view.View;
import org.alderyard.proxy.view.LeasedView;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What a session may use in the current view. Decided anew for each operation, as each change of
 * the configuration applies from the next operation on.
 */
final class SessionAccess {
  private static final Logger log = LoggerFactory.getLogger(SessionAccess.class);
  private static final int MAX_LOGGED_NAME_CHARS = 64;

  private static final Refusal VIEW_OVERDUE =
      new Refusal(
          RefusalCode.BUSY,
          "this host has not received the newest configuration in time; retry after 500 ms");

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

  /**
   * Whether an operation may begin: either the right to begin it or the refusal is present.
   *
   * @param right the right, if the operation may begin
   * @param refusal the reason, if it may not begin
   */
  record Decision(Optional<Right> right, Optional<Refusal> refusal) {

    private static Decision allow(DatabaseState database, ConnectionOwner owner) {
      return new Decision(Optional.of(new Right(database, owner)), Optional.empty());
    }

    private static Decision refuse(Refusal refusal) {
      return new Decision(Optional.empty(), Optional.of(refusal));
    }

    /** Returns the result of the function for the right or of the one for the refusal. */
    <T> T map(Function<Right, T> ifAllowed, Function<Refusal, T> ifRefused) {
      return right.map(ifAllowed).orElseGet(() -> ifRefused.apply(refusal.orElseThrow()));
    }
  }

  /**
   * Decides by one view and its lease whether an operation may begin.
   *
   * <p>A host that lacks a newer view for longer than a lease may hold a database that was removed
   * or moved since, so it refuses all operations until it has that view. A host that is cut off
   * from the control hosts knows of no newer view and goes on serving the databases that it has.
   */
  Decision decide() {
    LeasedView leased = context.leasedViews().read();
    if (leased.overdue()) {
      return Decision.refuse(VIEW_OVERDUE);
    }
    Optional<ConfigurationState> configuration = leased.view().configuration();
    Optional<DatabaseState> database = configuration.flatMap(known -> known.database(databaseName));
    if (database.isEmpty()) {
      Refusal refusal = unknownDatabase(leased);
      logUnknownDatabase(leased.view(), refusal);
      return Decision.refuse(refusal);
    }
    return identity
        .owner(configuration.get(), database.get())
        .map(owner -> Decision.allow(database.get(), owner))
        .orElseGet(() -> Decision.refuse(unauthorized(leased)));
  }

  /**
   * Returns the refusal of a database that is not in the view. Without a valid lease, the refusal
   * is {@code BUSY}, so that the caller retries on another host, and not an error of the caller.
   */
  private Refusal unknownDatabase(LeasedView leased) {
    return leased.leaseValid()
        ? new Refusal(RefusalCode.UNKNOWN_DATABASE, databaseName)
        : new Refusal(
            RefusalCode.BUSY,
            "the control hosts have not confirmed this host's view, which has no database "
                + databaseName);
  }

  /** Logs the view of the lookup beside the view that is current when the refusal is decided. */
  private void logUnknownDatabase(View view, Refusal refusal) {
    OptionalLong suppressed = context.refusalLog().tryLog(context.clock().nowNanos());
    if (suppressed.isEmpty()) {
      return;
    }
    log.info(
        "event=database-unknown database=\"{}\" refusal={} configuration={} view={}"
            + " current-view={} current-view-has-it={} suppressed={}",
        LogText.sanitize(databaseName, MAX_LOGGED_NAME_CHARS),
        refusal.code(),
        view.configuration().map(ConfigurationState::number).orElse(0L),
        view.version(),
        context.views().current().version(),
        database().isPresent(),
        suppressed.getAsLong());
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
   * Returns the refusal of an unknown key; {@code BUSY} without a valid lease, so that the caller
   * retries on another host.
   */
  private static Refusal unauthorized(LeasedView leased) {
    return leased.leaseValid()
        ? new Refusal(RefusalCode.UNAUTHORIZED, "no organisation has this key")
        : new Refusal(
            RefusalCode.BUSY,
            "the control hosts have not confirmed this host's view, in which no organisation has"
                + " this key");
  }
}
