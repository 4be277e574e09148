/** The replicated control state that is built from committed commands, including change tickets. */
package org.alderyard.control.state;
