/**
 * The methods that proxies call on the leading control host to obtain connections to backend
 * servers.
 */
package org.alderyard.protocol.grant;
