package org.magnoliavale.internal.traffic;

import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpHeader;

/** A response received by Jetty's HTTP client. */
record JettyEndpointResponse(Request request, Response response, InputStream content)
    implements EndpointResponse {
  @Override
  public int status() {
    return response.getStatus();
  }

  @Override
  public Optional<String> contentType() {
    return Optional.ofNullable(response.getHeaders().get(HttpHeader.CONTENT_TYPE));
  }

  @Override
  public void abandon(String reason) {
    request.abort(new IOException(reason));
  }
}
