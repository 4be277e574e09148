package org.alderyard.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import org.alderyard.proxy.admission.AdmissionMode;
import org.alderyard.proxy.callersession.StartOpenings;
import org.alderyard.proxy.pool.ConnectionSharing;
import org.alderyard.proxy.quota.QuotaCounters;
import org.alderyard.proxy.quota.QuotaTolerance;
import org.alderyard.proxy.serverhealth.HealthOptions;

/**
 * Settings of a host whose callers open sessions.
 *
 * @param readyAddress address of the readiness endpoint that the load balancer queries
 * @param metricsAddress address that serves metrics
 * @param appointerAddress address of the service that appoints primaries
 * @param grace time between the request to stop the process and its forced termination
 * @param maxSessions maximum number of concurrent sessions
 * @param quotaTolerance how far an organisation may exceed its limit in a window
 * @param startOpenings what happens to session openings before the first view
 * @param health how the health of servers influences what they get
 * @param quotaCounters how limits are divided among the hosts that count
 * @param connectionSharing how organisations share the connections to a server
 * @param admission how statements are treated that no server can run at once
 * @param httpStart when the ports for readiness, operators and metrics open
 */
record SessionOptions(
    InetSocketAddress readyAddress,
    Optional<InetSocketAddress> metricsAddress,
    Optional<InetSocketAddress> appointerAddress,
    Duration grace,
    int maxSessions,
    QuotaTolerance quotaTolerance,
    StartOpenings startOpenings,
    HealthOptions health,
    QuotaCounters quotaCounters,
    ConnectionSharing connectionSharing,
    AdmissionMode admission,
    HttpStart httpStart) {}
