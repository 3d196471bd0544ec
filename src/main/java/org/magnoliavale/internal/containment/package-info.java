/**
 * Detects requests that crash endpoints and blocks them.
 *
 * <p>{@link org.magnoliavale.internal.containment.CrashRegistry} counts crashes per request {@link
 * org.magnoliavale.internal.containment.Fingerprint} over the whole fleet; {@link
 * org.magnoliavale.internal.containment.CrashGuard} checks requests against these counts; a {@link
 * org.magnoliavale.internal.containment.CrashProbe} tells a crash from a lost connection. The
 * package starts no threads. It does not exchange counts with other instances itself.
 */
package org.magnoliavale.internal.containment;
