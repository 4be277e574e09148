/** The sub-commands that talk to the operators' port of a host. */
package org.alderyard.cli.operator;
