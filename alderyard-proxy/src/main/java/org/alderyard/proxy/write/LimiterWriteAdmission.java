package org.alderyard.proxy.write;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.proxy.limit.Flow;
import org.alderyard.proxy.limit.ServerLimiters;
import org.alderyard.proxy.view.ViewHolder;

/**
 * Admits writes through the per-server limiters of the reads, so that both share a server's slots.
 */
public final class LimiterWriteAdmission implements WriteAdmission {
  private static final String UNKNOWN_CALLER = "";
  private static final int FALLBACK_SLOTS = 1;

  private final ServerLimiters limiters;
  private final ViewHolder views;

  /** Creates an admission that uses the limiters of the reads. */
  public LimiterWriteAdmission(ServerLimiters limiters, ViewHolder views) {
    this.limiters = Objects.requireNonNull(limiters);
    this.views = Objects.requireNonNull(views);
  }

  @Override
  public CompletableFuture<Permit> acquire(
      WriteRequest request, ServerState primary, long deadlineNanos) {
    int slots =
        views
            .current()
            .group(request.group())
            .map(GroupState::slotsPerServer)
            .orElse(FALLBACK_SLOTS);
    String caller = request.ledgerKey().map(key -> key.caller().value()).orElse(UNKNOWN_CALLER);
    Flow flow = new Flow(request.pool().name(), caller);
    return limiters
        .acquire(primary.id(), slots, true, flow, true, deadlineNanos)
        .thenApply(LimiterPermit::new);
  }

  private record LimiterPermit(ServerLimiters.Permit permit) implements Permit {
    @Override
    public void release(boolean answered) {
      permit.end(answered);
    }

    @Override
    public void releaseUnsent() {
      permit.endUnsent();
    }
  }
}
