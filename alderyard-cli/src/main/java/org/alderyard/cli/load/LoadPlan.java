package org.alderyard.cli.load;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * The parameters of a load run.
 *
 * @param proxies callers' ports of the proxies that receive requests in turn
 * @param pool name of the pool
 * @param mix proportions of the workload
 * @param ratePerSecond mean number of actions that arrive per second, whether or not earlier
 *     actions have completed
 * @param duration time during which actions arrive
 * @param keys number of distinct keys
 * @param seed seed of the random number generator
 * @param deadline time limit of a request, including its retries
 */
public record LoadPlan(
    List<InetSocketAddress> proxies,
    String pool,
    WorkloadMix mix,
    int ratePerSecond,
    Duration duration,
    int keys,
    long seed,
    Duration deadline) {

  /** Rejects null components and copies the proxies. */
  public LoadPlan {
    Objects.requireNonNull(pool);
    Objects.requireNonNull(mix);
    Objects.requireNonNull(duration);
    Objects.requireNonNull(deadline);
    proxies = List.copyOf(proxies);
  }
}
