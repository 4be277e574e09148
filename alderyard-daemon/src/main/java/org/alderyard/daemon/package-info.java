/**
 * The {@code alderyardd} binary: one process that runs the roles that its settings name.
 *
 * <p>{@link org.alderyard.daemon.DaemonSettings} holds the validated settings file; {@link
 * org.alderyard.daemon.Daemon} assembles and starts the components.
 */
package org.alderyard.daemon;
