package org.alderyard.proxy.callersession;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.RendezvousScores;
import org.alderyard.common.view.HostState;

/**
 * Selects the holder of an availability zone at which the statements of one organisation meet.
 *
 * <p>A connection serves one organisation, and servers accept fewer connections than there are
 * organisations. If the statements of an organisation were spread over all holders, each holder
 * would close a connection of another organisation for almost every statement. The selection
 * depends on the holders alone, so that all hosts agree without communication. Thread-safe.
 */
final class HolderAffinity {
  private final RendezvousScores scores = new RendezvousScores();

  /** Returns the preferred holder of an organisation; empty for callers without one. */
  Optional<HostState> preferred(GroupId group, ConnectionOwner owner, List<HostState> holders) {
    if (!owner.isOrganisation()) {
      return Optional.empty();
    }
    long hash = RendezvousScores.nameHash(group.value() + "/" + owner.organisation());
    return holders.stream()
        .max(
            Comparator.comparingLong((HostState holder) -> scores.score(hash, holder.id()))
                .thenComparing(HostState::id));
  }
}
