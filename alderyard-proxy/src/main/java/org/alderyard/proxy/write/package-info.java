/** The write path: sends a write to the primary of its group and waits for the acknowledgement. */
package org.alderyard.proxy.write;
