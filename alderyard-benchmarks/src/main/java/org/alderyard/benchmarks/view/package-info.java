/** What tickets and views cost: time until in force, bytes, processor time, memory, restart. */
package org.alderyard.benchmarks.view;
