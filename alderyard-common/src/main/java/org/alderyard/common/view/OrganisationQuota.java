package org.alderyard.common.view;

/**
 * The limit on the operations that an organisation may begin, counted over all hosts.
 *
 * @param ratePerSecond the operations per second in the long run
 * @param burst the operations that may begin at once after a period without any
 */
public record OrganisationQuota(double ratePerSecond, double burst) {}
