package org.magnoliavale.internal.platform;

/**
 * A write of a transaction: sets or deletes a row.
 *
 * @param key key of the row
 * @param value new content of the row; null deletes the row
 */
public record Write(String key, String value) {}
