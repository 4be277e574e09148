/** Caller API, sessions, routing, limits, retries and transactions. */
package org.alderyard.proxy;
