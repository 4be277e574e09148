package org.alderyard.proxy.statement;

import org.alderyard.common.view.ServerState;

/**
 * Where a read goes.
 *
 * @param server the server
 * @param replica whether it is a replica
 * @param reason why it was chosen
 */
record ReadTarget(ServerState server, boolean replica, ReadReason reason) {}
