package org.alderyard.proxy.write;

/**
 * What follows on the failure of an attempt, and why.
 *
 * @param action what follows
 * @param reason why
 */
record RetryDecision(RetryAction action, RetryReason reason) {}
