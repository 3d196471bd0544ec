package org.magnoliavale.internal.link;

/**
 * The identity that an instance presents in the handshake.
 *
 * @param instance name of the instance
 * @param incarnation identifier of this run of the instance, which contains its name
 */
public record PeerIdentity(String instance, String incarnation) {}
