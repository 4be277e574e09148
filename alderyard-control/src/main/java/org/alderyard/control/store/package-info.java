/**
 * Durable storage of a control host: a locked data folder with the log and the newest snapshot.
 *
 * <p>The folder contains {@code lock}, {@code identity}, {@code log-N.seg} (checksummed batches,
 * with one sync per batch) and {@code snapshot-INDEX.snap}. Data is synced when a write returns. A
 * batch truncated by a crash is dropped at the next start. Any other damage stops the host.
 */
package org.alderyard.control.store;
