/** Sub-commands that send requests to the operators' port of a host. */
package org.alderyard.cli.operator;
