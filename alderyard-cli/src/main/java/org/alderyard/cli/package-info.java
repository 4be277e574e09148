/**
 * The {@code alderyard} command line for operators and developers.
 *
 * <p>{@link org.alderyard.cli.command} parses command lines, {@link org.alderyard.cli.operator}
 * sends requests to the operators' port, {@link org.alderyard.cli.load} is the load generator and
 * {@link org.alderyard.cli.demo} the demonstration.
 */
package org.alderyard.cli;
