/**
 * Parsing and schema validation of INI texts.
 *
 * <p>{@link org.magnoliavale.internal.ini.IniText} parses a text, {@link
 * org.magnoliavale.internal.ini.Schema} validates it and reports findings with their locations, and
 * {@link org.magnoliavale.internal.ini.ReferencePage} renders a schema as documentation. The
 * package starts no threads, performs no input or output, and depends on no other internal package
 * but {@code identifier}.
 */
package org.magnoliavale.internal.ini;
