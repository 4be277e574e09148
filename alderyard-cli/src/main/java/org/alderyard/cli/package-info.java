/**
 * The binary {@code alderyard}: the operators' and developers' command line.
 *
 * <p>{@link org.alderyard.cli.command} says what the sub-commands accept, {@link
 * org.alderyard.cli.operator} talks to the operators' port, {@link org.alderyard.cli.load} is the
 * load tool and {@link org.alderyard.cli.demo} the demonstration.
 */
package org.alderyard.cli;
