/** Benchmarks of writes through a proxy to in-process stand-in servers. */
package org.alderyard.benchmarks.writes;
