/** Measures how far a process has started and what the start has cost. */
package org.alderyard.common.start;
