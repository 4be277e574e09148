package org.alderyard.protocol.wire;

import org.alderyard.common.id.HostId;

/**
 * The identity of the peer of an authenticated connection.
 *
 * @param host the name of the host
 * @param incarnation a number that grows with each start of the peer's process
 */
public record PeerIdentity(HostId host, long incarnation) {}
