package org.magnoliavale.internal.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.magnoliavale.internal.directory.DirectoryEntry;

/** Result of selecting an endpoint for a request. */
public sealed interface EndpointChoice {
  /**
   * An endpoint was selected, and the request counts as in flight there.
   *
   * @param forecast what is expected of the request there
   * @param request the request, by which its events and its end are recorded
   * @param directoryAgeMs time since the directory was last read, in milliseconds
   */
  record Selected(
      DirectoryEntry endpoint, EndpointForecast forecast, SentRequest request, long directoryAgeMs)
      implements EndpointChoice {
    /** Returns the selection of an endpoint that no pool tracks. */
    public static Selected untracked(DirectoryEntry endpoint, long nowNanos) {
      EndpointForecast forecast = EndpointForecast.unknown(endpoint.identity());
      SentRequest request = SentRequest.of(Optional.empty(), 0, forecast, nowNanos);
      return new Selected(endpoint, forecast, request, 0);
    }
  }

  /** No endpoint holds the artifact; the request has to wait until one does. */
  record AwaitArtifact(Artifact artifact) implements EndpointChoice {}

  /** No endpoint takes the request now. */
  sealed interface NoEndpoint extends EndpointChoice {
    /** Returns why, for logs and callers. */
    String reason();

    /** Returns the time after which one of them may take it, if that is known. */
    Optional<Duration> timeToNext();
  }

  /**
   * The endpoints have said that they take no request of this instance now.
   *
   * @param time time after which one of them may take one
   */
  record Deferred(Duration time) implements NoEndpoint {
    @Override
    public String reason() {
      return "no endpoint takes requests now";
    }

    @Override
    public Optional<Duration> timeToNext() {
      return Optional.of(time);
    }
  }

  /**
   * Every endpoint that could serve the request has as much work as it can take; the request may
   * wait for room at this instance.
   *
   * @param timeToRoom time until one of them is expected to have room
   */
  record Busy(Duration timeToRoom) implements NoEndpoint {
    @Override
    public String reason() {
      return "all endpoints are busy";
    }

    @Override
    public Optional<Duration> timeToNext() {
      return Optional.of(timeToRoom);
    }
  }

  /**
   * No endpoint can answer the request before its deadline, as far as it can be told.
   *
   * @param firstEvent the earliest time to the first event of the response
   */
  record TooLate(Duration firstEvent) implements NoEndpoint {
    @Override
    public String reason() {
      return "no endpoint can answer in time";
    }

    @Override
    public Optional<Duration> timeToNext() {
      return Optional.of(firstEvent);
    }
  }

  /** No endpoint of the service can accept the request. */
  record Unavailable(String reason) implements NoEndpoint {
    @Override
    public Optional<Duration> timeToNext() {
      return Optional.empty();
    }
  }
}
