/** What a write costs on its way through a proxy, against in-process stand-in servers. */
package org.alderyard.benchmarks.writes;
