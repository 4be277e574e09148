/** Merges the log lines of several processes into the timeline of one request. */
package org.alderyard.cli.explain;
