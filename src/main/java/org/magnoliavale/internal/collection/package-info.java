/**
 * Collections that several packages share.
 *
 * <p>{@link org.magnoliavale.internal.collection.BoundedMap} is the only one. It is not
 * thread-safe. The package depends on no other package of the program.
 */
package org.magnoliavale.internal.collection;
