package org.magnoliavale.internal.dispatch;

/**
 * A segment of a prompt that several requests may share.
 *
 * @param id name that identifies the segment's content
 * @param tokens length in tokens
 */
public record PromptSegment(String id, int tokens) {}
