package org.alderyard.common.view;

/** Whether a backend server gets new work. */
public enum ServerStatus {
  /** It gets new work. */
  ACTIVE,
  /** It said that it leaves: no new work, what runs may end. */
  LEAVING,
  /** Its lease ran out: no new work. */
  EXPIRED,
  /** It said that it leaves, and has left; only another incarnation comes back. */
  GONE
}
