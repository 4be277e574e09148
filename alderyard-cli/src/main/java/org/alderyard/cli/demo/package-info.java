/** The demonstration: both workloads on a small local system, and the death of a primary. */
package org.alderyard.cli.demo;
