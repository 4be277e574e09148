/** The replicated log that orders every change of control state. */
package org.alderyard.control.log;
