/** The errors of the system: one unchecked family, each with a code and an outcome. */
package org.alderyard.common.error;
