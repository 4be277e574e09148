package org.alderyard.proxy.monitor;

import org.alderyard.backend.ServerReport;

/**
 * A server's report and when it was asked for.
 *
 * @param report the report
 * @param askedNanos when the request left, on the monotonic clock; the report is not older
 * @param receivedNanos when the report arrived, on the monotonic clock
 */
public record ServerObservation(ServerReport report, long askedNanos, long receivedNanos) {}
