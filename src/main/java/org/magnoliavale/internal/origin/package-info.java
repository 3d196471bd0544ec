/**
 * At which software version each stream began, for the whole fleet.
 *
 * <p>{@link org.magnoliavale.internal.origin.RecordedOrigins} decides, {@link
 * org.magnoliavale.internal.origin.ServiceVersions} follows the versions of one service, and {@link
 * org.magnoliavale.internal.origin.StreamRecords} reads and writes rows of the platform's table.
 */
package org.magnoliavale.internal.origin;
