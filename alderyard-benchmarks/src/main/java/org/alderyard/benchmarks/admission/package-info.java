/** Benchmark of the admission decision. */
package org.alderyard.benchmarks.admission;
