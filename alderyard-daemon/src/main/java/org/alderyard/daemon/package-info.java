/**
 * The binary {@code alderyardd}: one process with the roles that its settings name.
 *
 * <p>{@link org.alderyard.daemon.DaemonSettings} is what a file gives, {@link
 * org.alderyard.daemon.Daemon} puts the parts together.
 */
package org.alderyard.daemon;
