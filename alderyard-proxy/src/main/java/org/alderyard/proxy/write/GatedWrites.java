package org.alderyard.proxy.write;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.proxy.limit.Flow;
import org.alderyard.proxy.limit.Gates;
import org.alderyard.proxy.view.ViewHolder;

/** Sends writes through the same gate of a server as reads, so that its slots hold for both. */
public final class GatedWrites implements WriteAdmission {
  private static final String NO_CALLER = "";
  private static final int LEAST_SLOTS = 1;

  private final Gates gates;
  private final ViewHolder views;

  /** Uses the gates of the reads. */
  public GatedWrites(Gates gates, ViewHolder views) {
    this.gates = Objects.requireNonNull(gates);
    this.views = Objects.requireNonNull(views);
  }

  @Override
  public CompletableFuture<Turn> enter(
      WriteRequest request, ServerState primary, long deadlineNanos) {
    int slots =
        views.current().group(request.group()).map(GroupState::slotsPerServer).orElse(LEAST_SLOTS);
    String caller = request.ledgerKey().map(key -> key.caller().value()).orElse(NO_CALLER);
    Flow flow = new Flow(request.pool().name(), caller);
    return gates
        .enter(primary.id(), slots, true, flow, true, deadlineNanos)
        .thenApply(GateTurn::new);
  }

  private record GateTurn(Gates.Permit permit) implements Turn {
    @Override
    public void end(boolean answered) {
      permit.end(answered);
    }

    @Override
    public void notSent() {
      permit.notSent();
    }
  }
}
