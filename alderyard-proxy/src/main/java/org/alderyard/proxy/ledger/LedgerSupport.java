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
 * <p>One server without this ability is enough for a no: it may be the next primary, and would run
 * a resent write again. A server that was not heard of yet counts as one without it.
 */
public final class LedgerSupport implements Predicate<GroupId> {
  private final ViewHolder views;
  private final GroupMonitor monitor;

  /** Reads the abilities out of what the monitor heard. */
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
