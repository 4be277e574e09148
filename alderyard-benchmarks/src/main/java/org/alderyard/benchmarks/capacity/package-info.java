/** Measures memory and processor time per connection, statement and group for docs/CAPACITY.md. */
package org.alderyard.benchmarks.capacity;
