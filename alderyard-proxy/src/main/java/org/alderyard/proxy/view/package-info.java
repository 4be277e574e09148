/** The view that this proxy acts on, and the client that receives it from the control hosts. */
package org.alderyard.proxy.view;
