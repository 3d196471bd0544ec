package org.magnoliavale.internal.containment;

/**
 * What one instance tells the others about a request.
 *
 * @param fingerprint the request
 * @param crashes crashes that the telling instance saw while the request was in flight
 * @param ageMs time since the last of them, or since the lifting, in milliseconds
 * @param lifted whether the request was found harmless or lifted by an operator
 */
public record CrashNote(Fingerprint fingerprint, int crashes, long ageMs, boolean lifted) {}
