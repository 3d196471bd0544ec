package org.magnoliavale.internal.instance;

import java.util.List;

/**
 * State of an instance in the operator API.
 *
 * @param incarnation identifier of this run of the instance, which contains its name
 * @param documentVersion version of the active document
 * @param ready whether the instance accepts requests
 * @param requestsInProgress number of requests in progress
 * @param instances number of live instances that the routing snapshot includes
 * @param heldPools pools whose placement lease the instance holds
 */
public record InstanceStatus(
    String incarnation,
    long documentVersion,
    boolean ready,
    int requestsInProgress,
    int instances,
    List<String> heldPools) {}
