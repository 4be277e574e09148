package org.alderyard.proxy.write;

import org.alderyard.common.view.ServerState;

/**
 * Where a write goes.
 *
 * @param primary the primary
 * @param term the term that it is primary of
 */
public record WriteTarget(ServerState primary, long term) {}
