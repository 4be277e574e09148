/** The HTTP/1.1 protocol of the backend servers, described in docs/BACKEND-PROTOCOL.md. */
package org.alderyard.backend.http;
