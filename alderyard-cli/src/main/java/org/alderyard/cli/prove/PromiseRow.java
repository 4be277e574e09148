package org.alderyard.cli.prove;

/**
 * One promise and how it fared.
 *
 * @param promise the promise
 * @param attack how it was attacked
 * @param attempts how often it could have been broken
 * @param violations how often it was
 */
record PromiseRow(String promise, String attack, long attempts, long violations) {}
