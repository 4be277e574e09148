/**
 * The inner protocol between the processes of the system: protobuf frames over TCP.
 *
 * <p>{@link org.alderyard.protocol.wire} transports requests and replies; {@link
 * org.alderyard.protocol.view} converts the view of the control state to and from protobuf
 * messages.
 */
package org.alderyard.protocol;
