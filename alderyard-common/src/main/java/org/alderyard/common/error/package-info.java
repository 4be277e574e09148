/** The unchecked exceptions of the system, each with a code and an outcome. */
package org.alderyard.common.error;
