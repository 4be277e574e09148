/** The binary alderyard. */
package org.alderyard.cli;
