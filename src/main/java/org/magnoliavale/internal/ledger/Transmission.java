package org.magnoliavale.internal.ledger;

/**
 * One sending of a command, recorded in the ledger before it is sent. Until it is known to be
 * settled, it may arrive at any time.
 *
 * @param id unique id of the transmission
 * @param fence fencing token
 * @param issuedAtMs time of creation, before it is sent, in milliseconds since 1970
 * @param notAfterMs send deadline, in milliseconds since 1970
 */
public record Transmission(String id, long fence, long issuedAtMs, long notAfterMs) {}
