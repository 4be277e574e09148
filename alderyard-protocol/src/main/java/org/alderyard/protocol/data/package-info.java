/** The methods that proxies call on one another to serve callers' requests. */
package org.alderyard.protocol.data;
