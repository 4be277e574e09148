/** The conversion of the view of the control state to and from protobuf messages. */
package org.alderyard.protocol.view;
