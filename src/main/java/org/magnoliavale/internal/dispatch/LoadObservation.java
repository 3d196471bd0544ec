package org.magnoliavale.internal.dispatch;

/**
 * A load that an endpoint has reported, as instances tell it each other.
 *
 * @param endpoint hash of the endpoint's identity
 * @param load what it reported
 * @param ageMs time since the report in milliseconds
 */
public record LoadObservation(int endpoint, ReportedLoad load, long ageMs) {}
