/** What proxies ask of the leading control host about connections to backend servers. */
package org.alderyard.protocol.grant;
