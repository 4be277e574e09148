package org.alderyard.control.service;

import java.util.List;
import org.alderyard.protocol.generated.state.ViewDelta;

/**
 * What a host needs to come to the current view.
 *
 * @param needsSnapshot whether no deltas lead from its version to the current one
 * @param deltas the deltas, in order; none when nothing is newer
 */
record ViewNews(boolean needsSnapshot, List<ViewDelta> deltas) {
  static final ViewNews NOTHING = new ViewNews(false, List.of());
  static final ViewNews SNAPSHOT = new ViewNews(true, List.of());

  boolean isNothing() {
    return !needsSnapshot && deltas.isEmpty();
  }
}
