/** Stand-in backend server: a small replicated key-value store that implements the protocol. */
package org.alderyard.testkit.standin;
