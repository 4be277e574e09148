package org.alderyard.proxy.freshness;

/** How old the data of a read may be. */
public enum FreshnessMode {
  /** The read shows all that the session has seen or written. */
  SESSION,
  /** As {@code SESSION} for the caller's own changes, and no older than a stated age. */
  BOUNDED,
  /** Any age. */
  ANY,
  /** The primary's data. */
  PRIMARY
}
