package org.alderyard.proxy.lease;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.View;

/**
 * The connections to a server that a host may have before its first lease: its even share.
 *
 * <p>Guards against callers who wait although servers are idle: after a loss of all hosts a new
 * leader grants nothing for some seconds, and two connections were too few for the host to which
 * most callers came back. Even shares of all hosts together stay below what the server accepts.
 */
public final class EvenShare {
  /** The part that is shared; the rest is for the primary that all turn to. */
  private static final double SHARED_PART = 0.9;

  private final Supplier<View> views;

  /** Creates the shares of the newest view. */
  public EvenShare(Supplier<View> views) {
    this.views = Objects.requireNonNull(views);
  }

  /** Returns the share of this host. */
  public int of(ServerId server) {
    View view = views.get();
    Optional<GroupState> group = view.server(server).flatMap(state -> view.group(state.group()));
    int budget = group.map(GroupState::connectionsPerServer).orElse(0);
    long hosts = view.hosts().values().stream().filter(HostState::proxy).count();
    return (int) (budget * SHARED_PART / Math.max(1, hosts));
  }
}
