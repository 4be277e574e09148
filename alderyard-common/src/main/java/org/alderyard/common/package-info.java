/** IDs, errors, settings, clocks and the view of the control state. */
package org.alderyard.common;
