/** The control state: what committed commands make of it, and the tickets among them. */
package org.alderyard.control.state;
