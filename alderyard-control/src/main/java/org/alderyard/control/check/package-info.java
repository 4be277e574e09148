/** Checks of a session configuration before it is sent. Nothing here needs a running host. */
package org.alderyard.control.check;
