/** In-memory model of a group of backend servers with sessions and scripted faults. */
package org.alderyard.testkit.session;
