package org.magnoliavale.internal.traffic;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Response;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.http.Problems;
import org.magnoliavale.internal.http.StreamFraming;

/**
 * Forwards a stream of server-sent events to a caller. It keeps the id of the last forwarded event,
 * so that an interrupted stream can be resumed at another endpoint without lost or duplicate
 * events. Not thread-safe.
 */
final class EventStreamForwarder {
  /** How forwarding one attempt's response ended. */
  sealed interface Outcome {
    /** The end-of-stream event was forwarded. */
    record Completed() implements Outcome {}

    /** The endpoint's stream failed or was invalid. */
    record EndpointFailed(String reason, boolean connectionLost) implements Outcome {}

    /** Writing to the caller failed. */
    record CallerDisconnected() implements Outcome {}
  }

  private static final String END_OF_STREAM = "[DONE]";
  private static final long NO_EVENT = -1;

  private final Response response;
  private OutputStream output;
  private long lastEventId = NO_EVENT;
  private boolean forwardedEventWithoutId;

  EventStreamForwarder(Response response) {
    this.response = response;
  }

  /** Returns whether any event other than a control event was forwarded to the caller. */
  boolean hasForwardedEvents() {
    return lastEventId != NO_EVENT || forwardedEventWithoutId;
  }

  /**
   * Returns whether another attempt can resume the stream: every forwarded event that is not a
   * control event had a numeric id.
   */
  boolean isResumable() {
    return !forwardedEventWithoutId;
  }

  /** Returns the id of the last forwarded event, if any. */
  Optional<String> lastEventId() {
    return lastEventId == NO_EVENT ? Optional.empty() : Optional.of(Long.toString(lastEventId));
  }

  /**
   * Forwards an attempt's events until the stream ends or either side fails. An error response has
   * no events, whatever its content looks like.
   */
  Outcome forward(EndpointResponse endpointResponse) {
    if (endpointResponse.status() != HttpStatus.OK_200) {
      return new Outcome.EndpointFailed("status " + endpointResponse.status(), false);
    }
    EventReader reader = new EventReader(endpointResponse.content());
    while (true) {
      Optional<EventReader.Event> event;
      try {
        event = reader.next();
      } catch (IOException e) {
        return new Outcome.EndpointFailed(
            String.valueOf(e.getMessage()), ConnectionFailures.isConnectionLost(e));
      }
      if (event.isEmpty()) {
        return new Outcome.EndpointFailed("stream ended without [DONE] event", false);
      }
      String sequenceError = findSequenceError(event.get());
      if (sequenceError != null) {
        return new Outcome.EndpointFailed(sequenceError, false);
      }
      boolean last = event.get().data().equals(END_OF_STREAM);
      if (!write(event.get(), last || !reader.hasBuffered())) {
        return new Outcome.CallerDisconnected();
      }
      if (last) {
        return new Outcome.Completed();
      }
    }
  }

  /** Writes an error event, which tells the caller that the stream is incomplete. */
  void writeError(MagnoliavaleException problem) throws IOException {
    String data = new String(Problems.body(problem), StandardCharsets.UTF_8);
    output().write(("event: error\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    output().flush();
  }

  /** Completes the response. */
  void close() throws IOException {
    OutputStream whole = output();
    StreamFraming.complete(response);
    whole.close();
  }

  /**
   * Checks that numeric event ids are consecutive. Returns null if the event may be forwarded.
   *
   * <p>Control events are events without an id that have no data or end the stream; they are not
   * checked.
   */
  private String findSequenceError(EventReader.Event event) {
    if (event.id().isEmpty()) {
      boolean control = event.data().isEmpty() || event.data().equals(END_OF_STREAM);
      forwardedEventWithoutId |= !control;
      return null;
    }
    try {
      long id = Long.parseLong(event.id());
      if (id != lastEventId + 1) {
        return "event id " + id + " follows event id " + lastEventId;
      }
      lastEventId = id;
      return null;
    } catch (NumberFormatException e) {
      forwardedEventWithoutId = true;
      return null;
    }
  }

  private boolean write(EventReader.Event event, boolean flush) {
    try {
      output().write(event.raw());
      if (flush) {
        output().flush();
      }
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private OutputStream output() {
    if (output == null) {
      response.setStatus(HttpStatus.OK_200);
      response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
      response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
      StreamFraming.begin(response);
      output = Content.Sink.asOutputStream(response);
    }
    return output;
  }
}
