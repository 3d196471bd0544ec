/**
 * The list of endpoints that the platform publishes.
 *
 * <p>{@link org.magnoliavale.internal.directory.DirectorySource} reads it, a {@link
 * org.magnoliavale.internal.directory.DirectoryEntry} describes one endpoint, and {@link
 * org.magnoliavale.internal.directory.EndpointDirectory} merges successive reads.
 *
 * <p>The package starts no threads and has no locks; the records are immutable. It performs no
 * network I/O and reads no clock: times are parameters, and the platform implements the source.
 */
package org.magnoliavale.internal.directory;
