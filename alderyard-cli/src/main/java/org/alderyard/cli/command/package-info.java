/** Command line parsing, help output, and the specifications of sub-commands. */
package org.alderyard.cli.command;
