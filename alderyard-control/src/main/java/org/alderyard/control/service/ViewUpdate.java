package org.alderyard.control.service;

import java.util.List;
import org.alderyard.protocol.generated.state.ViewDelta;

/**
 * Update that a host needs to reach the current view.
 *
 * @param needsSnapshot whether no deltas lead from the host's version to the current one
 * @param deltas the deltas, in order; none when nothing is newer
 */
record ViewUpdate(boolean needsSnapshot, List<ViewDelta> deltas) {
  static final ViewUpdate NONE = new ViewUpdate(false, List.of());
  static final ViewUpdate SNAPSHOT = new ViewUpdate(true, List.of());

  boolean isEmpty() {
    return !needsSnapshot && deltas.isEmpty();
  }
}
