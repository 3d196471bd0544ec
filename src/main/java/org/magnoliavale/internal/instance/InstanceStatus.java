package org.magnoliavale.internal.instance;

import java.util.List;

/**
 * An instance's state as the operator API shows it.
 *
 * @param incarnation name and incarnation
 * @param documentVersion version of the document in force
 * @param ready whether it takes work
 * @param requestsInProgress requests in progress
 * @param instances live instances that it knows, itself included
 * @param heldPools pools whose placement lease it holds
 */
public record InstanceStatus(
    String incarnation,
    long documentVersion,
    boolean ready,
    int requestsInProgress,
    int instances,
    List<String> heldPools) {}
