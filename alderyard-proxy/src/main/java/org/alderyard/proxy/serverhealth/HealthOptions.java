package org.alderyard.proxy.serverhealth;

import java.util.Objects;

/**
 * Settings of server health.
 *
 * @param knowledge which observations a host acts on
 * @param pace how the load of a server that has just started grows
 */
public record HealthOptions(ServerKnowledge knowledge, PaceMode pace) {
  /** Own observations only and no pace. */
  public static final HealthOptions DEFAULT =
      new HealthOptions(ServerKnowledge.LOCAL, PaceMode.NONE);

  /** Rejects null components. */
  public HealthOptions {
    Objects.requireNonNull(knowledge);
    Objects.requireNonNull(pace);
  }

  /** Returns whether hosts share observations and eject outliers. */
  public boolean shared() {
    return knowledge == ServerKnowledge.SHARED;
  }

  /** Returns whether servers that have just started are paced. */
  public boolean paced() {
    return pace == PaceMode.ADAPTIVE;
  }

  /** Returns whether these settings change the selection of servers at all. */
  public boolean enabled() {
    return shared() || paced();
  }
}
