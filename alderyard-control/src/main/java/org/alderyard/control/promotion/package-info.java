/**
 * Failover of groups whose primaries are appointed by an external service.
 *
 * <p>Hosts report to the control leader whether the primaries that they use respond. The leader
 * decides by a majority of these reports, chooses the replica with the highest received position,
 * and requests its appointment with a fencing token from the control log.
 */
package org.alderyard.control.promotion;
