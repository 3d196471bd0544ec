package org.magnoliavale.internal.ini;

/**
 * A key and its value in a section.
 *
 * @param key the key's name
 * @param value the value as written, without surrounding white space
 * @param line line number, from 1
 */
public record IniEntry(String key, String value, int line) {}
