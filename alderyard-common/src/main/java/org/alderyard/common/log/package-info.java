/** Helpers for log lines whose number must not grow with a fault. */
package org.alderyard.common.log;
