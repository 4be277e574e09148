package org.alderyard.backend;

import java.util.List;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.TermStart;

/**
 * State of a backend server as the server reports it.
 *
 * @param server the server's id
 * @param incarnation number that increases with each start of the server
 * @param group the server's database group
 * @param term the highest term that the server has seen; it refuses requests of a lower term
 * @param role the server's role in its group
 * @param held the last entry in the server's log; a failover keeps the entries that a majority
 *     holds
 * @param applied the last entry that is visible to reads; never beyond {@code held}
 * @param termStarts where each term of the server's log begins, oldest first
 * @param ledger whether the server records the response to a write under its ledger key
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

  /** Copies the list. */
  public ServerReport {
    termStarts = List.copyOf(termStarts);
  }
}
