package org.magnoliavale.internal.platform;

/**
 * Sets or deletes a row.
 *
 * @param key the row's key
 * @param value its new text, or null to delete it
 */
public record Write(String key, String value) {}
