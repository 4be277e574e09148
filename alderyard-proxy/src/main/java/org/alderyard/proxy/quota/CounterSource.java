package org.alderyard.proxy.quota;

import java.util.List;
import java.util.Optional;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.View;

/** Selects counters by what else the hosts do for an organisation. */
@FunctionalInterface
public interface CounterSource {
  /** Selects no counters; some hosts of each availability zone count all organisations. */
  CounterSource NONE = (view, organisation) -> Optional.empty();

  /**
   * Returns the hosts that count the operations of an organisation. The result must depend on the
   * view alone.
   *
   * @return empty if any host may count them
   */
  Optional<List<HostState>> counters(View view, String organisation);
}
