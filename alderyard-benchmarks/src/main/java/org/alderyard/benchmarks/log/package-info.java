/** Benchmarks of the replicated log: latency, election gap, restart and snapshots. */
package org.alderyard.benchmarks.log;
