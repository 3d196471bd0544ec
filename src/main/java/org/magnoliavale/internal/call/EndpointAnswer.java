package org.magnoliavale.internal.call;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/**
 * A complete response of an endpoint, ready to be sent to the caller.
 *
 * @param status HTTP status
 * @param headers the headers that the caller gets
 * @param body the whole body
 */
record EndpointAnswer(int status, HttpFields headers, ByteBuffer body) {}
