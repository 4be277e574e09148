/** Control plane: replicated log, change tickets, membership, registry and failover. */
package org.alderyard.control;
