package org.alderyard.proxy.write;

/** The action after a failed attempt. */
enum RetryAction {
  /** Reports the failure to the caller. */
  GIVE_UP,
  /** Retries after a short delay. */
  RETRY,
  /** Retries on the primary of a later term. */
  RETRY_IN_LATER_TERM
}
