package org.alderyard.proxy.pool;

import org.alderyard.backend.session.ConnectRefusedException;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.view.ServerState;

/** The failures of requests for a connection; the statements have not run. */
final class PoolErrors {
  private static final long RETRY_AFTER_MILLIS = 100;

  /** Returns the failure of a request to a server without a lease. */
  static AlderyardException noLeaseError(ServerState server) {
    return AlderyardException.notRun(
        ErrorCode.NO_ELIGIBLE_SERVER,
        "this proxy holds no connection lease for server " + server.id(),
        RETRY_AFTER_MILLIS);
  }

  /** Returns the failure of a request to a server at its connection limit. */
  static AlderyardException connectionLimitError(ServerState server) {
    return AlderyardException.notRun(
        ErrorCode.NO_ELIGIBLE_SERVER,
        "server " + server.id() + " recently refused a connection at its connection limit",
        RETRY_AFTER_MILLIS);
  }

  /** Returns the failure of a request that got no connection in time. */
  static AlderyardException allInUseError(ServerState server) {
    return AlderyardException.notRun(
        ErrorCode.OVERLOADED,
        "all leased connections to server " + server.id() + " are in use",
        RETRY_AFTER_MILLIS);
  }

  /** Returns whether a server has refused a connection at its connection limit. */
  static boolean isConnectionLimit(Throwable failure) {
    return Futures.unwrap(failure) instanceof ConnectRefusedException refused
        && refused.refusal() == RefusalCode.CONNECTION_LIMIT;
  }

  private PoolErrors() {}
}
