/**
 * Checks recorded operations of callers for consistency violations.
 *
 * <p>Every write appends a value that is unique in the history to the list under its key, so that a
 * lost, duplicate or foreign value is visible in the lists.
 */
package org.alderyard.testkit.history;
