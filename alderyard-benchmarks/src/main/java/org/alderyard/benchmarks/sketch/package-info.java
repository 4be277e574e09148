/** Whether a mergeable quantile sketch serves better than histograms for tails across proxies. */
package org.alderyard.benchmarks.sketch;
