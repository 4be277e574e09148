package org.alderyard.control.promotion;

/** What the service answered. */
public enum PromotionAnswer {
  /** The server will lead, or leads already. */
  ACCEPTED,
  /** The token was passed, or the server does not run. */
  REFUSED,
  /** Too many calls; this one was not carried out. */
  THROTTLED,
  /** No clear answer: the call may be carried out, now or later. */
  UNKNOWN
}
