/**
 * The exchange of hosts' observations of backend servers: the control leader sums what hosts report
 * with their heartbeats, and its replies hold the sums. All messages are bounded.
 */
package org.alderyard.protocol.health;
