/**
 * Session tokens, with which a caller carries the observed positions of its session between
 * proxies.
 *
 * <p>A token contains one log position for each database group that the session accessed. Any proxy
 * verifies the token with the keys of the view, so a session can move between proxies without
 * shared state.
 */
package org.alderyard.proxy.session;
