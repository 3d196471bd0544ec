package org.magnoliavale.internal.control;

import org.magnoliavale.internal.lease.LeaseTimes;
import org.magnoliavale.internal.placement.PlacementPolicy;

/**
 * What the decision core is told once.
 *
 * @param self name and incarnation of this instance
 * @param lease times of placement leases
 * @param clockDriftMs largest difference between two instances' clocks, in milliseconds
 * @param policy the placement policy
 */
public record ControlOptions(
    String self, LeaseTimes lease, long clockDriftMs, PlacementPolicy policy) {}
