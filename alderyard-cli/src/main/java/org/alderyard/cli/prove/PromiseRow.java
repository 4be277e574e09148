package org.alderyard.cli.prove;

/**
 * The test result of one promise.
 *
 * @param promise description of the promise
 * @param attack description of the conditions under which the promise was tested
 * @param attempts number of checks
 * @param violations number of failed checks
 */
record PromiseRow(String promise, String attack, long attempts, long violations) {}
