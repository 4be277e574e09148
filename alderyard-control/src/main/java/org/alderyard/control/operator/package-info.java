/** The operators' port: tickets and the state of the system. */
package org.alderyard.control.operator;
