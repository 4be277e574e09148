/**
 * Routing of reads: selects the least loaded server among those that are fresh enough.
 *
 * <p>{@link org.alderyard.proxy.routing.ReadRouter} has no mutable state. The load of each server
 * comes from {@link org.alderyard.proxy.routing.ServerLoads}, which all workers share.
 */
package org.alderyard.proxy.routing;
