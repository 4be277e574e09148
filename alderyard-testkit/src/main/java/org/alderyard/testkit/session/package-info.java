/**
 * A group of backend servers with sessions, in memory: what it does and how it fails is scripted.
 */
package org.alderyard.testkit.session;
