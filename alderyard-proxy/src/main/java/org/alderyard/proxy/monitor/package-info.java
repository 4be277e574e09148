/** Polling of backend servers for their positions, with the time of each report. */
package org.alderyard.proxy.monitor;
