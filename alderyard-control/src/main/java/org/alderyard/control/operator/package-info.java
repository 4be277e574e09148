/** HTTP API for operators: change tickets, host drains and the state of the cluster. */
package org.alderyard.control.operator;
