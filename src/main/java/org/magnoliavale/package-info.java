/**
 * The public API for embedding an instance in a Java process.
 *
 * <p>{@link org.magnoliavale.Magnoliavale} is the facade of one instance and is created by {@link
 * org.magnoliavale.MagnoliavaleBuilder}. Errors are reported as {@link
 * org.magnoliavale.MagnoliavaleException} with an {@link org.magnoliavale.ErrorCode}; invalid
 * settings also carry a list of {@link org.magnoliavale.Finding}. The types of this package start
 * no threads of their own.
 */
package org.magnoliavale;
