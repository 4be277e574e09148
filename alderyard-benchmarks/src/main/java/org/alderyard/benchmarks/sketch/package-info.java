/** Compares a mergeable quantile sketch with histograms for tail latencies across proxies. */
package org.alderyard.benchmarks.sketch;
