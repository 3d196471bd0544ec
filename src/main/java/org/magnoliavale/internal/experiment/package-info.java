/**
 * Simulations that compare placement policies on the engine pool of a document, with fixed seeds.
 *
 * <p>{@link org.magnoliavale.internal.experiment.PlacementExperiment} runs each policy against the
 * same {@link org.magnoliavale.internal.experiment.DemandTrace} and returns one {@link
 * org.magnoliavale.internal.experiment.PlacementResult} per policy. The package starts no threads,
 * performs no I/O and reads no clock.
 */
package org.magnoliavale.internal.experiment;
