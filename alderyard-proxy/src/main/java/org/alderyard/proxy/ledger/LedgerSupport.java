package org.alderyard.proxy.ledger;

import java.util.List;
import java.util.function.Predicate;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.view.ServerState;
import org.alderyard.proxy.monitor.GroupMonitor;
import org.alderyard.proxy.view.ViewHolder;

/**
 * Tells whether all servers of a group record writes under their ledger keys.
 *
 * <p>A single server without this ability is enough to return false: it may become the primary and
 * would run a resent write again. A server that has not reported yet counts as one without the
 * ability.
 */
public final class LedgerSupport implements Predicate<GroupId> {
  private final ViewHolder views;
  private final GroupMonitor monitor;

  /** Creates a predicate over the latest reports of the monitor. */
  public LedgerSupport(ViewHolder views, GroupMonitor monitor) {
    this.views = views;
    this.monitor = monitor;
  }

  @Override
  public boolean test(GroupId group) {
    List<ServerState> servers = views.current().serversOf(group);
    return !servers.isEmpty() && servers.stream().allMatch(this::hasLedger);
  }

  private boolean hasLedger(ServerState server) {
    return monitor.latest(server.id()).filter(seen -> seen.report().ledger()).isPresent();
  }
}
