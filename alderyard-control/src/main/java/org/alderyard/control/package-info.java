/** Replicated log, tickets, membership, registry and failover. */
package org.alderyard.control;
