package org.alderyard.control.promotion;

/** The response of the appointing service. */
public enum PromotionResponse {
  /** The server becomes primary, or is primary already. */
  ACCEPTED,
  /** The service has received a higher token, or the server is not running. */
  REFUSED,
  /** The service received too many calls; this call was not executed. */
  THROTTLED,
  /** The call did not leave this host. */
  NOT_SENT,
  /** No definite response was received: the call may be executed now or later. */
  UNKNOWN
}
