package org.alderyard.proxy.write;

/**
 * The action after a failed attempt, with its reason.
 *
 * @param action the action to take
 * @param reason the reason for the action
 */
record RetryDecision(RetryAction action, RetryReason reason) {}
