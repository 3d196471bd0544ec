package org.magnoliavale.internal.containment;

/**
 * The crash count of a request at one instance, as sent to the other instances.
 *
 * @param fingerprint the request
 * @param crashes crashes that the sending instance observed while the request was in flight
 * @param ageMs time since the last crash, or since the count was lifted, in milliseconds
 * @param lifted whether the count was lifted, after a complete response or by an operator
 */
public record CrashCount(Fingerprint fingerprint, int crashes, long ageMs, boolean lifted) {}
