/** The mapping between the view of control state and its messages. */
package org.alderyard.protocol.view;
