/** Slopes of memory for docs/CAPACITY.md: what one more caller, group or server costs. */
package org.alderyard.benchmarks.capacity;
