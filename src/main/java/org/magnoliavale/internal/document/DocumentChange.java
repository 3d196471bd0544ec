package org.magnoliavale.internal.document;

import java.util.List;

/**
 * An accepted change, as stored in the history.
 *
 * @param version document version that the change created
 * @param headings headings of the sections that were written or deleted
 * @param changedBy the team's name, or {@code administrator}
 * @param changeId change id given by the operator
 * @param atMs time of acceptance, in milliseconds since the epoch
 */
public record DocumentChange(
    long version, List<String> headings, String changedBy, String changeId, long atMs) {}
