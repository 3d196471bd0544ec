package org.magnoliavale.internal.document;

import java.util.List;

/**
 * One accepted change, as the history keeps it.
 *
 * @param version version of the document that the change made
 * @param headings the sections that it wrote or deleted
 * @param changedBy team, or {@code administrator}
 * @param changeId the operator's id of the change
 * @param atMs when it was accepted, in milliseconds since 1970
 */
public record DocumentChange(
    long version, List<String> headings, String changedBy, String changeId, long atMs) {}
