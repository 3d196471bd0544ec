package org.magnoliavale.internal.gateway;

import java.net.InetSocketAddress;
import java.net.URI;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpConversation;
import org.eclipse.jetty.client.transport.HttpRequest;
import org.magnoliavale.internal.http.HttpAddresses;

/**
 * A request whose path and query are sent exactly as they are given.
 *
 * <p>Jetty's own requests parse a path as a URI reference, which takes a path that begins with two
 * slashes for one with a host, and fails on a query with a malformed escape.
 */
final class VerbatimRequest extends HttpRequest {
  private final String path;
  private final String query;

  /**
   * Returns a request that is not sent yet.
   *
   * @param pathQuery path and, after a question mark, query
   */
  VerbatimRequest(HttpClient client, InetSocketAddress address, String pathQuery) {
    super(client, new HttpConversation(), URI.create("http://" + HttpAddresses.format(address)));
    int questionMark = pathQuery.indexOf('?');
    this.path = questionMark < 0 ? pathQuery : pathQuery.substring(0, questionMark);
    this.query = questionMark < 0 ? null : pathQuery.substring(questionMark + 1);
  }

  @Override
  public String getPath() {
    return path;
  }

  /** Returns the query, which may be empty, or null if there is none. */
  @Override
  public String getQuery() {
    return query;
  }

  /** Returns null, since not each path and query is one of a URI. */
  @Override
  public URI getURI() {
    return null;
  }
}
