/** Hashes of texts, tokens and calls. */
package org.magnoliavale.internal.hash;
