/**
 * Session tokens: what a caller has seen, carried by the caller between proxies.
 *
 * <p>A token holds one log position for each database group that the session touched. Any proxy
 * verifies it with the keys of the view, so a session moves between proxies without shared state.
 */
package org.alderyard.proxy.session;
