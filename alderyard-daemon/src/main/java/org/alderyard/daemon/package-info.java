/** The binary alderyardd. */
package org.alderyard.daemon;
