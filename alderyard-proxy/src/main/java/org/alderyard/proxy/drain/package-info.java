/** Graceful shutdown of a proxy: new requests are refused and requests in flight complete. */
package org.alderyard.proxy.drain;
