/** The callers' HTTP interface. */
package org.alderyard.proxy.api;
