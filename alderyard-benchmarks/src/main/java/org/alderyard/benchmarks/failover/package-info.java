/** Measures the interruption of writes while a primary is replaced. */
package org.alderyard.benchmarks.failover;
