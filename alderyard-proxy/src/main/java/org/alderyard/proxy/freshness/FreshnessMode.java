package org.alderyard.proxy.freshness;

/** How old the data of a read may be. */
public enum FreshnessMode {
  /** The read reflects everything that the session has read or written before. */
  SESSION,
  /** The read reflects the session's own changes, and its data is no older than a given age. */
  BOUNDED,
  /** The data may have any age. */
  ANY,
  /** The read runs on the primary. */
  PRIMARY
}
