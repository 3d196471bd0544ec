package org.magnoliavale.internal.platform;

/**
 * A condition of a transaction: holds if the row has the given version.
 *
 * @param key key of the row
 * @param version required version; {@link Row#ABSENT} requires that there is no row
 */
public record Condition(String key, long version) {}
