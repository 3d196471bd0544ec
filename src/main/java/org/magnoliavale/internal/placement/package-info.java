/**
 * Decides which artifacts belong on which endpoints of an engine pool.
 *
 * <p>A {@link org.magnoliavale.internal.placement.PlacementPolicy} turns a {@link
 * org.magnoliavale.internal.placement.PlacementInput} into a list of {@link
 * org.magnoliavale.internal.placement.Move}; {@link org.magnoliavale.internal.placement.Planner} is
 * the policy that instances run, the others are baselines for experiments. {@link
 * org.magnoliavale.internal.placement.DemandForecast} supplies the demand.
 *
 * <p>The package starts no threads, does no I/O and reads no clock, and may not depend on the
 * packages for HTTP, traffic or stand-ins.
 */
package org.magnoliavale.internal.placement;
