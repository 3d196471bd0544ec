package org.magnoliavale.internal.platform;

/**
 * Holds when the row's version is the given one.
 *
 * @param key the row's key
 * @param version the version it must have; {@link Row#ABSENT} for no row
 */
public record Condition(String key, long version) {}
