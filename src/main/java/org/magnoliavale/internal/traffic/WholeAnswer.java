package org.magnoliavale.internal.traffic;

/**
 * An endpoint's answer that arrived in full.
 *
 * @param status HTTP status
 * @param contentType content type
 * @param body the whole body
 */
public record WholeAnswer(int status, String contentType, byte[] body) {}
