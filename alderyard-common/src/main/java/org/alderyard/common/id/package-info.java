/** Typed names and positions that the whole system shares. */
package org.alderyard.common.id;
