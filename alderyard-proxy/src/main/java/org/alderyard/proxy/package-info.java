/** The proxy: caller API, sessions, read routing, limiters, retries and transactions. */
package org.alderyard.proxy;
