package org.alderyard.control.state;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.alderyard.common.view.View;
import org.alderyard.protocol.generated.state.ViewDelta;

/**
 * A new view.
 *
 * @param view the view
 * @param chainHash the hash of all deltas up to it
 * @param delta what changed; empty when the view comes from a stored snapshot
 */
public record ViewChange(View view, ByteString chainHash, Optional<ViewDelta> delta) {}
