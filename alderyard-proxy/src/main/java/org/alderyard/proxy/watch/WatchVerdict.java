package org.alderyard.proxy.watch;

import java.util.Optional;

/**
 * A watcher's verdict on a primary.
 *
 * @param suspicion the reason why the primary is suspected; empty if it is not suspected
 * @param urgent whether probes should be sent at the urgent interval
 */
public record WatchVerdict(Optional<Reason> suspicion, boolean urgent) {

  /** The reason why a primary is suspected. */
  public enum Reason {
    /** The primary has not answered for so long that an answer is improbable. */
    SILENT,
    /** Several consecutive connections to the primary were refused or lost. */
    UNREACHABLE,
    /** The server answers, but not as the primary of its term, because it was restarted. */
    ROLE_LOST
  }
}
