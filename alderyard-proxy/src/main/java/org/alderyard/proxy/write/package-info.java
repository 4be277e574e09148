/** The path of a write: to the primary of its group's term, and to its acknowledgement. */
package org.alderyard.proxy.write;
