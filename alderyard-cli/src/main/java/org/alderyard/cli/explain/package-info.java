/** Joins the log lines of several processes into the story of one request. */
package org.alderyard.cli.explain;
