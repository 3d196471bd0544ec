/**
 * SHA-256 hashes of texts, access tokens and requests.
 *
 * <p>{@link org.magnoliavale.internal.hash.Sha256} is stateless and thread-safe. The package
 * depends on no other package of the program.
 */
package org.magnoliavale.internal.hash;
