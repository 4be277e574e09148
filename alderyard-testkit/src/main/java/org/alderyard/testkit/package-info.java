/** Stand-in backend server, in-memory models and other test utilities. */
package org.alderyard.testkit;
