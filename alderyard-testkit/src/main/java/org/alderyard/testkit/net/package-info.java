/** Network utilities for tests and local clusters. */
package org.alderyard.testkit.net;
