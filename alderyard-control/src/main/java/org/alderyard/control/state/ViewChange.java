package org.alderyard.control.state;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.alderyard.common.view.View;
import org.alderyard.protocol.generated.state.ViewDelta;

/**
 * A new version of the view.
 *
 * @param view the view after the change
 * @param chainHash the chain hash over all deltas up to this view
 * @param delta the changed objects; empty when the view was restored from a stored snapshot
 */
public record ViewChange(View view, ByteString chainHash, Optional<ViewDelta> delta) {}
