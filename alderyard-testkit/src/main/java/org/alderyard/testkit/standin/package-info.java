/** A stand-in for a backend server: a small replicated key-value store behind the protocol. */
package org.alderyard.testkit.standin;
