/**
 * Injects faults into a local system under load and checks each promise of the product.
 *
 * <p>{@link org.alderyard.cli.prove.Fault} is a single fault, {@link
 * org.alderyard.cli.prove.FaultSchedule} generates a seeded sequence of faults, and {@link
 * org.alderyard.cli.prove.PromiseReport} holds and formats the results.
 */
package org.alderyard.cli.prove;
