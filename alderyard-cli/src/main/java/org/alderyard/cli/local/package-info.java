/**
 * A whole small system as processes of this machine, for demonstrations and experiments.
 *
 * <p>It is a tool for developers. The processes of the system themselves start no other process.
 */
package org.alderyard.cli.local;
