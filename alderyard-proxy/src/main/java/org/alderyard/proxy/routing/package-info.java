/**
 * The choice of the server for a read: who is fresh enough, and who of them is best.
 *
 * <p>{@link org.alderyard.proxy.routing.ReadRouter} is pure; what it weighs of each server comes
 * from {@link org.alderyard.proxy.routing.ServerLoads}, which the workers share.
 */
package org.alderyard.proxy.routing;
