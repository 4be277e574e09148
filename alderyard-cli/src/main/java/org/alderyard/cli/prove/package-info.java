/**
 * The experiment that attacks a local system with faults and checks each promise of the product.
 *
 * <p>{@link org.alderyard.cli.prove.Fault} is one attack, {@link
 * org.alderyard.cli.prove.FaultSchedule} their seeded order, {@link
 * org.alderyard.cli.prove.PromiseReport} the result apart from its rendering.
 */
package org.alderyard.cli.prove;
