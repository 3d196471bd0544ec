/**
 * JSON serialization.
 *
 * <p>{@link org.magnoliavale.internal.json.Json} holds the mapper that the program shares. The
 * package is thread-safe, starts no threads, and depends on no other package of the program.
 */
package org.magnoliavale.internal.json;
