/**
 * The load tool: open-loop arrivals of both users' workloads, with a checked history.
 *
 * <p>{@link org.alderyard.cli.load.LoadPlan} is what was asked for, {@link
 * org.alderyard.cli.load.LoadRun} runs it, {@link org.alderyard.cli.load.LoadReport} is the result
 * apart from its rendering.
 */
package org.alderyard.cli.load;
