/** The pool of workers, and small helpers for futures. */
package org.alderyard.common.concurrent;
