/** The HTTP interface for callers. */
package org.alderyard.proxy.api;
