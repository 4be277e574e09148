/**
 * Simulations of reads and overload that run the production decision code with a simulated clock.
 *
 * <p>{@link org.alderyard.benchmarks.reads.ReadsBenchmark} runs all simulations and prints their
 * result tables.
 */
package org.alderyard.benchmarks.reads;
