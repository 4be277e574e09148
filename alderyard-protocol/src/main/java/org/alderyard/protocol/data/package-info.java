/** What proxies ask of one another on the path of callers' requests. */
package org.alderyard.protocol.data;
