/** The view that this proxy acts on, and how it follows the control hosts. */
package org.alderyard.proxy.view;
