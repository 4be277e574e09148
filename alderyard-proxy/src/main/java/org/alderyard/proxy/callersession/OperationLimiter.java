package org.alderyard.proxy.callersession;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.backend.session.Refusal;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.common.view.DatabaseState;
import org.alderyard.proxy.quota.OrganisationLimiter;
import org.alderyard.proxy.quota.QuotaDecision;
import org.alderyard.proxy.view.ViewHolder;

/**
 * Decides whether an operation is within the limit of its organisation.
 *
 * <p>Operations are counted by the host whose connection runs their first statement. The statements
 * of an organisation meet at few such hosts, which request several operations at once.
 */
final class OperationLimiter {
  private static final Refusal UNKNOWN_ORGANISATION =
      new Refusal(
          RefusalCode.BUSY,
          "this host's view does not have the caller's organisation; retry after 200 ms");

  private final ViewHolder views;
  private volatile OrganisationLimiter organisations = OrganisationLimiter.NONE;

  OperationLimiter(ViewHolder views) {
    this.views = views;
  }

  /** Sets what limits organisations; without it, every operation may begin. */
  void limitWith(OrganisationLimiter limiter) {
    organisations = limiter;
  }

  /**
   * Begins an operation on this host's connections. An operation over the limit waits for its
   * organisation's next token for half of the latency objective of its database, as the other half
   * remains for its statements. One of an organisation that this host's view lacks is refused, as
   * its limit is unknown here: the host of its caller has a view of another version.
   *
   * @return a future that never fails; empty if the operation may begin, otherwise the reason why
   *     nothing ran
   */
  CompletableFuture<Optional<Refusal>> begin(ConnectionOwner owner, DatabaseState database) {
    if (!owner.isOrganisation()) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    return views
        .current()
        .configuration()
        .flatMap(configuration -> configuration.organisations().byName(owner.organisation()))
        .map(
            organisation ->
                organisations.begin(organisation, database.latencyObjectiveMillis() / 2))
        .map(decision -> decision.thenApply(OperationLimiter::refusal))
        .orElseGet(() -> CompletableFuture.completedFuture(Optional.of(UNKNOWN_ORGANISATION)));
  }

  private static Optional<Refusal> refusal(QuotaDecision decision) {
    return switch (decision.verdict()) {
      case ADMITTED -> Optional.empty();
      case OVER_LIMIT ->
          Optional.of(
              new Refusal(
                  RefusalCode.OVER_QUOTA,
                  "the organisation has reached its limit; retry after "
                      + decision.retryAfterMillis()
                      + " ms"));
      case NO_COUNTER ->
          Optional.of(
              new Refusal(
                  RefusalCode.BUSY,
                  "no host that counts the organisation's operations replies; retry after "
                      + decision.retryAfterMillis()
                      + " ms"));
    };
  }
}
