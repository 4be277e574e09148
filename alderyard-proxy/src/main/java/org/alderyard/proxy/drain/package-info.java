/** The end of a proxy: no new work, and what is in flight may end. */
package org.alderyard.proxy.drain;
