/**
 * Typed names and log positions.
 *
 * <p>The records declare {@code equals}, {@code hashCode} and {@code toString} explicitly. The
 * generated methods of a record are linked at their first use: for the first record this takes a
 * newly started host some tens of milliseconds, and several more for each further record, while
 * callers wait for the first view of the host.
 */
package org.alderyard.common.id;
