package org.magnoliavale.soak;

/**
 * One run of a request at a worker; times in milliseconds of the play.
 *
 * @param requestId id of the client attempt
 * @param worker name of the worker
 * @param start when the worker began to work on it
 * @param end when the worker stopped working on it
 * @param events number of events written
 * @param whole whether the whole response was written
 */
record Run(String requestId, String worker, long start, long end, int events, boolean whole) {}
