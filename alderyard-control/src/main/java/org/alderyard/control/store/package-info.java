/**
 * The files of a control host: one locked data folder with the log and the last snapshot.
 *
 * <p>Layout: {@code lock}, {@code identity}, {@code log-N.seg} (checksummed batches, one a sync)
 * and {@code snapshot-INDEX.snap}. What a call has returned from is synced. A batch that was cut
 * short by a crash is dropped at the next start; damage anywhere else stops the host.
 */
package org.alderyard.control.store;
