package org.magnoliavale.soak;

/** A request that a worker stated not to have run, and when, in milliseconds of the play. */
record Refusal(String requestId, String worker, long time) {}
