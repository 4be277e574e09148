/** What tests and local systems need of the network of one machine. */
package org.alderyard.testkit.net;
