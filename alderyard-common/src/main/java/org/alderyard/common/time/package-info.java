/** Time as the system sees it: a monotonic clock for intervals, which tests pause and advance. */
package org.alderyard.common.time;
