/** Measures how long writes of callers stand still while a primary is replaced. */
package org.alderyard.benchmarks.failover;
