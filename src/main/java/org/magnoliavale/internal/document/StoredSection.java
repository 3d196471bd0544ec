package org.magnoliavale.internal.document;

/**
 * A section as stored in the platform's table and exchanged between instances.
 *
 * @param heading the heading's text without brackets
 * @param revision document version in which the section last changed
 * @param text the section's INI text, heading included
 */
public record StoredSection(String heading, long revision, String text) {}
