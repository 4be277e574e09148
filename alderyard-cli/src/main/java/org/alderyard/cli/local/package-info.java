/**
 * Runs a small system as processes of the local machine, for demonstrations and fault tests.
 *
 * <p>This package is a developer tool. The processes of the system start no child processes.
 */
package org.alderyard.cli.local;
