package org.magnoliavale.internal.experiment;

/**
 * Result of one placement policy in an experiment.
 *
 * @param policy name of the policy
 * @param attainment share of the requests that could be answered in time
 * @param moves loads and unloads of model weights after the warm-up
 * @param longestUnavailableSeconds longest time for which a model had no ready replica, in seconds
 */
public record PlacementResult(
    String policy, double attainment, int moves, int longestUnavailableSeconds) {}
