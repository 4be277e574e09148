/** Demonstration: both workloads on a small local system during the failover of a primary. */
package org.alderyard.cli.demo;
