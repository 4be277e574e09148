/** A monotonic clock for intervals, which tests advance manually, and deadlines. */
package org.alderyard.common.time;
