/** What the HTTP ports of the system share: limits, JSON bodies and typed errors. */
package org.alderyard.common.http;
