/**
 * Models of reads and overload that run the real decisions under a paused clock.
 *
 * <p>{@link org.alderyard.benchmarks.reads.ReadsBenchmark} prints the tables of the measurements
 * page in one command.
 */
package org.alderyard.benchmarks.reads;
