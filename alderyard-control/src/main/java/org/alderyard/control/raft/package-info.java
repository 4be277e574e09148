/**
 * The agreement on one log, as a pure core: messages and time in, messages and effects out.
 *
 * <p>{@link org.alderyard.control.raft.RaftCore} does no I/O, starts no thread, reads no clock and
 * draws its randomness from an injected generator. Its caller makes the {@link
 * org.alderyard.control.raft.Effects} of each step durable, sends the messages and applies the
 * committed entries.
 */
package org.alderyard.control.raft;
