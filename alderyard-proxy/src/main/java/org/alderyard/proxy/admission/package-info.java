/**
 * Decides which statements a host serves while servers have too few free slots.
 *
 * <p>{@link org.alderyard.proxy.admission.AdmissionPolicy} decides about one statement: it runs
 * now, waits, or is refused with a retry time. {@link org.alderyard.proxy.admission.DeadlineQueue}
 * orders the statements that wait. {@link org.alderyard.proxy.admission.GroupAdmission} holds what
 * a host has observed of one group. The classes perform no I/O and read no clock.
 */
package org.alderyard.proxy.admission;
