/** The path of a read: from its demand over the routing decision to the checked answer. */
package org.alderyard.proxy.read;
