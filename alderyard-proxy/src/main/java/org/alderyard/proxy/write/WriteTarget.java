package org.alderyard.proxy.write;

import org.alderyard.common.view.ServerState;

/**
 * The primary that a write is sent to.
 *
 * @param primary the server that is the primary
 * @param term the term of the primary
 */
public record WriteTarget(ServerState primary, long term) {}
