package org.magnoliavale.internal.traffic;

/**
 * A complete response of an endpoint, buffered in memory.
 *
 * @param status HTTP status code
 * @param contentType content type
 * @param body response body
 */
public record BufferedResponse(int status, String contentType, byte[] body) {}
