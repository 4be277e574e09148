/** What this proxy knows of the positions of backend servers, and how old that knowledge is. */
package org.alderyard.proxy.monitor;
