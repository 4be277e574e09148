package org.alderyard.cli.load;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;

/**
 * The parameters of a load run.
 *
 * @param proxies returns the callers' ports of the proxies that receive requests in turn; a host
 *     may be replaced by one at another address
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
    Supplier<List<InetSocketAddress>> proxies,
    String pool,
    WorkloadMix mix,
    int ratePerSecond,
    Duration duration,
    int keys,
    long seed,
    Duration deadline) {

  /** Rejects null components. */
  public LoadPlan {
    Objects.requireNonNull(pool);
    Objects.requireNonNull(mix);
    Objects.requireNonNull(duration);
    Objects.requireNonNull(deadline);
    Objects.requireNonNull(proxies);
  }

  /** Returns the proxy that receives a request, given the number of requests before it. */
  InetSocketAddress proxy(long requestsBefore) {
    List<InetSocketAddress> current = proxies.get();
    return current.get((int) (requestsBefore % current.size()));
  }
}
