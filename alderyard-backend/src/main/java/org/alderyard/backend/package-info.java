/** Client of the protocol of the backend servers. */
package org.alderyard.backend;
