/** Helpers that keep the number of log lines independent of the duration of a fault. */
package org.alderyard.common.log;
