/**
 * Limits the operations that organisations begin, counted over all hosts.
 *
 * <p>Some hosts are counters. Each organisation has one counter in each availability zone, and each
 * counter grants an equal part of the organisation's rate and burst. A host that begins operations
 * takes the right to do so from a counter, in its own availability zone first, and refuses an
 * operation only if all counters have granted their parts. While one counter fails, the others
 * still grant theirs.
 */
package org.alderyard.proxy.quota;
