/** The worker pool and helpers for futures. */
package org.alderyard.common.concurrent;
