package org.magnoliavale.internal.link;

import com.codahale.metrics.Counter;
import java.time.Duration;

/**
 * What both ends of every link share.
 *
 * @param instance name of this instance
 * @param incarnation name and incarnation of this instance
 * @param proof proves the shared key
 * @param state what this instance says
 * @param listener takes in what others say
 * @param silenceTimeout silence after which a connection is closed
 * @param rejectedFrames counts malformed, oversized and foreign frames
 */
record LinkContext(
    String instance,
    String incarnation,
    LinkProof proof,
    PeerState state,
    PeerListener listener,
    Duration silenceTimeout,
    Counter rejectedFrames) {}
