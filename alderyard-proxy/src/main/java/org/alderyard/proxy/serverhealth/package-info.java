/**
 * Health of backend servers as hosts observe it: servers that fail or answer slowly get no reads
 * for a time, and servers that have just started get a bounded number of concurrent statements.
 *
 * <p>{@link org.alderyard.proxy.serverhealth.GroupHealth} decides for the servers of one group. It
 * uses what this host observed and, if hosts share their observations, the sums that the control
 * leader returns with the replies to heartbeats. The classes of this package read no clock, perform
 * no I/O and are not thread-safe, unless their comment says otherwise.
 */
package org.alderyard.proxy.serverhealth;
