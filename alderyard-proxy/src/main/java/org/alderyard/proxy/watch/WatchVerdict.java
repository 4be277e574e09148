package org.alderyard.proxy.watch;

import java.util.Optional;

/**
 * What a watcher thinks of a primary.
 *
 * @param suspicion why it is suspected; empty while it is trusted
 * @param urgent whether probes should be sent at the urgent pace
 */
public record WatchVerdict(Optional<Reason> suspicion, boolean urgent) {

  /** Why a primary is suspected. */
  public enum Reason {
    /** It did not answer for so long that an answer is improbable. */
    SILENT,
    /** It refused or broke several connections in a row. */
    UNREACHABLE,
    /** It answers, but no longer as the primary of its term: it was started again. */
    ROLE_LOST
  }
}
