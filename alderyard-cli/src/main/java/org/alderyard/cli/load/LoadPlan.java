package org.alderyard.cli.load;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * What a load run does.
 *
 * @param proxies the callers' ports to spread requests over
 * @param pool the pool to address
 * @param mix which workload
 * @param ratePerSecond actions that arrive each second, whether or not earlier ones have ended
 * @param duration how long actions arrive
 * @param keys how many keys are used
 * @param seed the start of all random choices
 * @param deadline how long one request may take
 */
public record LoadPlan(
    List<InetSocketAddress> proxies,
    String pool,
    Mix mix,
    int ratePerSecond,
    Duration duration,
    int keys,
    long seed,
    Duration deadline) {

  /** Checks and copies. */
  public LoadPlan {
    Objects.requireNonNull(pool);
    Objects.requireNonNull(mix);
    Objects.requireNonNull(duration);
    Objects.requireNonNull(deadline);
    proxies = List.copyOf(proxies);
  }
}
