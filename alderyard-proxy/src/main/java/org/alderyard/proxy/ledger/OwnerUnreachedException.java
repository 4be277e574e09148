package org.alderyard.proxy.ledger;

import org.alderyard.common.error.AlderyardException;

/** The way to the owner of a request id failed, before or after the request was sent. */
final class OwnerUnreachedException extends AlderyardException {
  private static final long serialVersionUID = 1L;

  OwnerUnreachedException(AlderyardException cause) {
    super(cause.code(), cause.outcome(), cause.getMessage(), cause);
  }
}
