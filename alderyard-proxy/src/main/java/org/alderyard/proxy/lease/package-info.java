/** The connections that the control hosts have leased to this proxy. */
package org.alderyard.proxy.lease;
