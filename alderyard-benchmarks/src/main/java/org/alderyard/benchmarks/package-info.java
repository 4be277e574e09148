/** Benchmarks and models with regression bounds. */
package org.alderyard.benchmarks;
