/**
 * The client side of the control hosts: tickets, announcements, views and the discovery of control
 * hosts.
 */
package org.alderyard.protocol.control;
