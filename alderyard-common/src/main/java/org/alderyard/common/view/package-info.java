/** The immutable, versioned view of the control state that every host acts on. */
package org.alderyard.common.view;
