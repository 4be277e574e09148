/** Limits, JSON bodies and typed errors of the HTTP ports. */
package org.alderyard.common.http;
