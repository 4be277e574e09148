package org.alderyard.proxy.callersession;

/** What happens to session openings on a host that has started and has no view yet. */
public enum StartOpenings {
  /** They wait for the view, for the admission timeout at most. */
  WAIT,
  /** They wait for a moment and are then refused with a retry time. */
  REFUSE
}
