/** Connections between processes: handshake, correlation of replies, limits and reconnection. */
package org.alderyard.protocol.wire;
