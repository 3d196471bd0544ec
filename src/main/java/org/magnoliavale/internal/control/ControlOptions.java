package org.magnoliavale.internal.control;

import org.magnoliavale.internal.lease.LeaseTimes;
import org.magnoliavale.internal.placement.PlacementPolicy;

/**
 * Constant parameters of {@link ControlCore}.
 *
 * @param self name and incarnation of this instance, as used in leases and transmission ids
 * @param lease durations of placement leases
 * @param clockDriftMs maximum difference between two instances' clocks, in milliseconds
 * @param policy the placement policy
 */
public record ControlOptions(
    String self, LeaseTimes lease, long clockDriftMs, PlacementPolicy policy) {}
