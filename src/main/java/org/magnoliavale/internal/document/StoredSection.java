package org.magnoliavale.internal.document;

/**
 * A section as it is kept in the platform's table and passed between instances.
 *
 * @param heading the heading's text without brackets
 * @param revision version of the document in which the section last changed
 * @param text the section's INI text, heading included
 */
public record StoredSection(String heading, long revision, String text) {}
