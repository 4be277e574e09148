/** The read path: routes reads, runs them on backend servers and checks the answers. */
package org.alderyard.proxy.read;
