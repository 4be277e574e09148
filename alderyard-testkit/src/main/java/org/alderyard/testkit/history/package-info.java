/**
 * Checks of what callers saw: recorded operations in, violations out.
 *
 * <p>Every write appends a value that is unique in the history to the list under its key, so that a
 * lost, doubled or foreign value shows in the lists themselves.
 */
package org.alderyard.testkit.history;
