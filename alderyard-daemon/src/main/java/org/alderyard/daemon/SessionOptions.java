package org.alderyard.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

/**
 * How a host serves callers that open sessions.
 *
 * @param readyAddress where the balancer asks whether this host takes new callers
 * @param metricsAddress where metrics are served
 * @param appointerAddress where the service is that appoints primaries
 * @param grace the time between the request to stop and the kill
 * @param maxSessions the most sessions at a time
 */
record SessionOptions(
    InetSocketAddress readyAddress,
    Optional<InetSocketAddress> metricsAddress,
    Optional<InetSocketAddress> appointerAddress,
    Duration grace,
    int maxSessions) {}
