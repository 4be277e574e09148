/** Ids, errors, settings, time, and the view of control state. */
package org.alderyard.common;
