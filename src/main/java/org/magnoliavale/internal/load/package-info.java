/**
 * The load generator: sends open-loop load to a running deployment, checks every response and
 * reports outcomes and latencies.
 *
 * <p>{@link org.magnoliavale.internal.load.LoadRun} executes a {@link
 * org.magnoliavale.internal.load.LoadPlan}. The calling thread starts requests at their scheduled
 * times; each request runs on its own virtual thread. Expected responses come from the token
 * generator of the engine stand-in.
 */
package org.magnoliavale.internal.load;
