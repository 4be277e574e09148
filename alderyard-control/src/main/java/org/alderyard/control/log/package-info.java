/** The Raft-replicated log that orders all changes to the control state. */
package org.alderyard.control.log;
