/** The view of control state that every host acts on: immutable and versioned. */
package org.alderyard.common.view;
