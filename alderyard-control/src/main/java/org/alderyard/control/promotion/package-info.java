/**
 * Failover of groups whose primaries are appointed by a service outside.
 *
 * <p>Hosts tell the control leader what they see of the primaries that they work with; the leader
 * decides by their majority, chooses the replica whose log is longest, and asks the service to
 * appoint it under a fencing token from the control log.
 */
package org.alderyard.control.promotion;
