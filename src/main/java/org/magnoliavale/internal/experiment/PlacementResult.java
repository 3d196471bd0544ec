package org.magnoliavale.internal.experiment;

/**
 * What one placement policy reached in an experiment.
 *
 * @param policy name of the policy
 * @param attainment share of the requests that could be answered in time
 * @param moves model loads and unloads after the first placement was complete
 * @param longestUnreachableSeconds longest time for which some model was ready nowhere
 */
public record PlacementResult(
    String policy, double attainment, int moves, int longestUnreachableSeconds) {}
