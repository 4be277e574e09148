package org.alderyard.proxy.write;

/** What follows on the failure of an attempt. */
enum RetryAction {
  /** The caller gets the failure. */
  GIVE_UP,
  /** Another attempt after a short pause. */
  RETRY,
  /** Another attempt on the primary of a later term. */
  RETRY_IN_LATER_TERM
}
