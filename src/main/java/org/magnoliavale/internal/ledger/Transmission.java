package org.magnoliavale.internal.ledger;

/**
 * One sending of an order, recorded before it is sent. It may arrive at any time until it is known
 * to be settled.
 *
 * @param id unique id
 * @param fence its fencing number
 * @param issuedAtMs when it was decided, in milliseconds since 1970; it is sent later than that
 * @param notAfterMs last moment of sending, in milliseconds since 1970
 */
public record Transmission(String id, long fence, long issuedAtMs, long notAfterMs) {}
