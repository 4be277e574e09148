package org.alderyard.backend;

import java.util.List;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.TermStart;

/**
 * What a backend server says of itself.
 *
 * @param server its name
 * @param incarnation grows with each of its starts
 * @param group its group
 * @param term the highest term that it has seen; it refuses anything of a lower one
 * @param role what it is
 * @param held the last entry that its log holds; a failover keeps what a majority holds
 * @param applied the last entry that its reads show; never beyond {@code held}
 * @param termStarts where each term of its log begins, oldest first
 * @param ledger whether it records the answer of a write under its ledger key
 */
public record ServerReport(
    ServerId server,
    long incarnation,
    GroupId group,
    long term,
    ServerRole role,
    Position held,
    Position applied,
    List<TermStart> termStarts,
    boolean ledger) {

  /** Copies. */
  public ServerReport {
    termStarts = List.copyOf(termStarts);
  }
}
