/** Benchmarks of tickets and views: time until in force, bytes, processor time, memory, restart. */
package org.alderyard.benchmarks.view;
