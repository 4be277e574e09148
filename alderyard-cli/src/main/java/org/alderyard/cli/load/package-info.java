/**
 * The load generator: open-loop workloads of both organisations, with a checked history.
 *
 * <p>{@link org.alderyard.cli.load.LoadPlan} holds the parameters, {@link
 * org.alderyard.cli.load.LoadRun} generates the load, and {@link org.alderyard.cli.load.LoadReport}
 * holds and formats the results.
 */
package org.alderyard.cli.load;
