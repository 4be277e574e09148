package org.alderyard.proxy.callersession;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
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
   * @param lookup when and in which view both were looked up
   */
  record Right(DatabaseState database, ConnectionOwner owner, ViewLookup lookup) {}

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

    private static Decision allow(Right right) {
      return new Decision(Optional.of(right), Optional.empty());
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
   * Decides whether an operation may begin, once this host can tell that its view is current.
   *
   * @return a future that never fails
   */
  CompletableFuture<Decision> decideByCurrentView() {
    return context
        .gate()
        .pass()
        .thenApply(held -> held.map(Decision::refuse).orElseGet(this::decide));
  }

  /** Decides by one view and its lease whether an operation may begin. */
  Decision decide() {
    long now = context.clock().nowNanos();
    LeasedView leased = context.leasedViews().read();
    Optional<ConfigurationState> configuration = leased.view().configuration();
    Optional<DatabaseState> database = configuration.flatMap(known -> known.database(databaseName));
    if (database.isEmpty()) {
      Refusal refusal = unknownDatabase(leased);
      logUnknownDatabase(new ViewLookup(leased.view().version(), now), leased.view(), refusal);
      return Decision.refuse(refusal);
    }
    return identity
        .owner(configuration.get(), database.get())
        .map(
            owner ->
                Decision.allow(
                    new Right(database.get(), owner, new ViewLookup(leased.view().version(), now))))
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
  private void logUnknownDatabase(ViewLookup lookup, View view, Refusal refusal) {
    long now = context.clock().nowNanos();
    OptionalLong suppressed = context.refusalLog().tryLog(now);
    if (suppressed.isEmpty()) {
      return;
    }
    log.info(
        "event=database-unknown database=\"{}\" refusal={} configuration={} view={}"
            + " current-view={} current-view-has-it={} lookup-age-millis={} suppressed={}",
        LogText.sanitize(databaseName, MAX_LOGGED_NAME_CHARS),
        refusal.code(),
        view.configuration().map(ConfigurationState::number).orElse(0L),
        lookup.version(),
        context.views().current().version(),
        database().isPresent(),
        lookup.ageMillis(now),
        suppressed.getAsLong());
  }

  /** Returns a lookup in the current view, now. */
  ViewLookup lookup() {
    return new ViewLookup(context.views().current().version(), context.clock().nowNanos());
  }

  /**
   * Returns why a statement of an open transaction may not run, once this host can tell that its
   * view is current. Callers without a key are not held, as nothing can be taken from them.
   *
   * @return a future that never fails; empty if the statement may run
   */
  CompletableFuture<Optional<Refusal>> refusalInTransactionByCurrentView(
      DatabaseState database, ConnectionOwner owner) {
    if (!owner.isOrganisation()) {
      return CompletableFuture.completedFuture(refusalInTransaction(database, owner));
    }
    return context
        .gate()
        .pass()
        .thenApply(
            held ->
                held.map(refusal -> new Refusal(RefusalCode.ABORTED, refusal.text()))
                    .or(() -> refusalInTransaction(database, owner)));
  }

  /**
   * Returns why the statements of an open transaction may no longer run. The transaction keeps the
   * database that it began with, but not the rights of a removed key.
   *
   * <p>The refusal is final only if a view with a valid lease lacks the key. Otherwise the key may
   * have been added again, or belongs to another organisation, and the caller may repeat the
   * transaction.
   */
  private Optional<Refusal> refusalInTransaction(DatabaseState database, ConnectionOwner owner) {
    LeasedView leased = context.leasedViews().read();
    Optional<Optional<ConnectionOwner>> current =
        leased.view().configuration().map(configuration -> identity.owner(configuration, database));
    if (current.isEmpty() || current.get().equals(Optional.of(owner))) {
      return Optional.empty();
    }
    boolean keyRemoved = current.get().isEmpty() && leased.leaseValid();
    return Optional.of(
        keyRemoved
            ? new Refusal(RefusalCode.UNAUTHORIZED, "the caller's key was removed")
            : new Refusal(RefusalCode.ABORTED, "the rights of the caller's key have changed"));
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
