/** What every host asks of the control hosts: tickets, announcements and the view. */
package org.alderyard.protocol.control;
