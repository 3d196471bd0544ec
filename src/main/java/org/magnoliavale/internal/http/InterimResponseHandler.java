package org.magnoliavale.internal.http;

import org.eclipse.jetty.client.ProtocolHandler;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.transport.HttpConversation;
import org.eclipse.jetty.client.transport.HttpExchange;
import org.eclipse.jetty.client.transport.HttpRequest;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Discards interim responses, so that a request's listeners see the final response that follows.
 * Jetty's own handlers know some interim statuses only, and one of each; without a handler the
 * final response would never be read.
 */
final class InterimResponseHandler implements ProtocolHandler {
  private static final class AwaitFinalResponse implements Response.Listener {
    @Override
    public void onSuccess(Response response) {
      restoreListeners(response).resetResponse();
    }

    @Override
    public void onFailure(Response response, Throwable failure) {
      HttpExchange exchange = restoreListeners(response);
      exchange
          .getResponseListeners()
          .emitFailureComplete(
              new Result(exchange.getRequest(), exchange.getRequestFailure(), response, failure));
    }

    /** Lets the listeners of the request see what follows; returns its exchange. */
    private static HttpExchange restoreListeners(Response response) {
      HttpConversation conversation = ((HttpRequest) response.getRequest()).getConversation();
      conversation.updateResponseListeners(null);
      return conversation.getExchanges().getLast();
    }
  }

  @Override
  public String getName() {
    return "interim-response";
  }

  @Override
  public boolean accept(Request request, Response response) {
    return HttpStatus.isInterim(response.getStatus());
  }

  @Override
  public Response.Listener getResponseListener() {
    return new AwaitFinalResponse();
  }
}
