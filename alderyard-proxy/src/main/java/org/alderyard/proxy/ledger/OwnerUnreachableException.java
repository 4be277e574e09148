package org.alderyard.proxy.ledger;

import org.alderyard.common.error.AlderyardException;

/**
 * Thrown when the call to the owner of a request ID failed, before or after the request was sent.
 */
final class OwnerUnreachableException extends AlderyardException {
  private static final long serialVersionUID = 1L;

  OwnerUnreachableException(AlderyardException cause) {
    super(cause.code(), cause.outcome(), cause.getMessage(), cause);
  }
}
