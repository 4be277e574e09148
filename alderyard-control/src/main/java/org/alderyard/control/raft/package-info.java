/**
 * The Raft consensus algorithm for one replicated log, without I/O.
 *
 * <p>{@link org.alderyard.control.raft.RaftCore} receives messages and the time, and returns the
 * {@link org.alderyard.control.raft.Effects} of each step. It does no I/O, starts no thread, reads
 * no clock and draws its randomness from an injected generator. Its caller syncs the effects, sends
 * the messages and applies the committed entries.
 */
package org.alderyard.control.raft;
