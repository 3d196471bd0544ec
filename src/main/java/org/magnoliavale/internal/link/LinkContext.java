package org.magnoliavale.internal.link;

import com.codahale.metrics.Counter;
import java.time.Duration;
import java.util.Set;

/**
 * Configuration and collaborators that all links of an instance share.
 *
 * @param instance name of this instance
 * @param incarnation identifier of this run of the instance, which contains its name
 * @param proof creates and verifies proofs of the shared key
 * @param state state of this instance that it sends to peers
 * @param listener receives the documents of other instances
 * @param exchange receives heartbeats and decides which are sent
 * @param accepted the authenticated connections that other instances opened
 * @param silenceTimeout time without a received byte after which a connection is closed
 * @param rejectedFrames counts malformed, oversized, unexpected and unauthenticated frames
 */
record LinkContext(
    String instance,
    String incarnation,
    LinkProof proof,
    PeerState state,
    PeerListener listener,
    HeartbeatExchange exchange,
    Set<AcceptedLink> accepted,
    Duration silenceTimeout,
    Counter rejectedFrames) {}
