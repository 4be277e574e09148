package org.alderyard.proxy.monitor;

import org.alderyard.backend.ServerReport;

/**
 * A server's report with the times of its request and arrival.
 *
 * @param report the report
 * @param askedNanos the monotonic time before the request was sent; the report is not older
 * @param receivedNanos the monotonic time at which the report arrived
 */
public record ServerObservation(ServerReport report, long askedNanos, long receivedNanos) {}
