/** Client of the backend servers' HTTP/1.1 protocol, see docs/BACKEND-PROTOCOL.md. */
package org.alderyard.backend.http;
