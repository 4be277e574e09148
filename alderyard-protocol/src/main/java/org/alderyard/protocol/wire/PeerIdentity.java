package org.alderyard.protocol.wire;

import org.alderyard.common.id.HostId;

/**
 * Who is at the other end of an authenticated connection.
 *
 * @param host the name of the host
 * @param incarnation grows with each start of its process
 */
public record PeerIdentity(HostId host, long incarnation) {}
