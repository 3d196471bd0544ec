package org.magnoliavale.internal.origin;

import org.magnoliavale.internal.directory.SoftwareVersion;

/**
 * A row that names a software version.
 *
 * @param closed of a baseline, whether its version has left since, so that it stands for nothing
 *     that begins from then on
 * @param rowVersion version of the row itself
 */
record VersionRow(SoftwareVersion version, boolean closed, long rowVersion) {}
