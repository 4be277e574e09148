/** The worker pool, timers and helpers for futures. */
package org.alderyard.common.concurrent;
