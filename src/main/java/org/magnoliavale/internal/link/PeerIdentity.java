package org.magnoliavale.internal.link;

/**
 * How an instance introduces itself.
 *
 * @param instance its name
 * @param incarnation its name and incarnation
 */
public record PeerIdentity(String instance, String incarnation) {}
