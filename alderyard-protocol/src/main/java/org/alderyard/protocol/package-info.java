/**
 * The inner protocol between the processes of the system: protobuf frames over TCP.
 *
 * <p>{@link org.alderyard.protocol.wire} carries requests and replies; {@link
 * org.alderyard.protocol.view} maps the view of control state to its messages.
 */
package org.alderyard.protocol;
