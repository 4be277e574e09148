/**
 * The demonstration: a whole small system as processes on this machine, under load and a failure.
 *
 * <p>It is a tool for developers. The processes of the system themselves start no other process.
 */
package org.alderyard.cli.demo;
