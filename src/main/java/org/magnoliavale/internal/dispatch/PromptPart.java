package org.magnoliavale.internal.dispatch;

/**
 * A part of a prompt that requests may share.
 *
 * @param id its name
 * @param tokens its length
 */
public record PromptPart(String id, int tokens) {}
