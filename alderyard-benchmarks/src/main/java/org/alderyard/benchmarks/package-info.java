/** Benchmarks and regression bounds. */
package org.alderyard.benchmarks;
