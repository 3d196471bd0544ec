package org.magnoliavale.internal.idempotency;

import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import org.eclipse.jetty.http.HttpFields;
import org.jboss.logging.Logger;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.document.PlainService;
import org.magnoliavale.internal.hash.Sha256;
import org.magnoliavale.internal.http.HeaderNames;
import org.magnoliavale.internal.identifier.EndpointId;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.platform.Row;
import org.magnoliavale.internal.routing.EndpointLoad;
import org.magnoliavale.internal.routing.RouteDecision;
import org.magnoliavale.internal.traffic.AtMostOnceForwarder;
import org.magnoliavale.internal.traffic.AttemptRequest;
import org.magnoliavale.internal.traffic.AttemptResult;
import org.magnoliavale.internal.traffic.AttemptSender;
import org.magnoliavale.internal.traffic.BufferedResponse;
import org.magnoliavale.internal.traffic.EndpointResponse;
import org.magnoliavale.internal.traffic.EndpointSelector;
import org.magnoliavale.internal.traffic.RequestContext;
import org.magnoliavale.internal.traffic.RequestTemplate;
import org.magnoliavale.internal.traffic.Target;

/**
 * Executes each non-idempotent request that has an idempotency key at most once across the fleet.
 *
 * <p>A request with an idempotency key is claimed: a claim row is committed before the first byte
 * is handed to a connection. A second request with the same key finds the row and is never
 * executed; it gets the recorded response, or an error that the first request is in progress or
 * that its outcome is unknown. A request is reported as not run only if no byte was handed to a
 * connection, only by the instance that made the claim, and only when no claim remains, so that the
 * caller can retry with the same key. A request without a key is sent at most once, without a
 * claim; a second request by the caller is not recognised as a duplicate.
 *
 * <p>Thread-safe; calls block. A claim that could not be released in time is released on a virtual
 * thread in the background.
 */
public final class AtMostOnceExecutor implements AtMostOnceForwarder {
  private static final Logger LOG = Logs.of("order");
  private static final int MAXIMUM_KEY_LENGTH = 255;
  private static final int MAXIMUM_RECORDED_BYTES = 64 * 1024;
  private static final int MAXIMUM_RELEASE_ATTEMPTS = 600;
  private static final Duration RELEASE_INTERVAL = Duration.ofSeconds(1);

  /** Time after its deadline at which a claim counts as abandoned; allows for clock differences. */
  private static final Duration CLAIM_GRACE = Duration.ofSeconds(2);

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private record OwnedClaim(String rowKey, long version, Claim claim) {}

  private final ClaimWriter claims;
  private final AttemptSender sender;
  private final EndpointSelector endpointSelector;
  private final InstantSource clock;
  private final int maximumResponseBytes;

  /**
   * Creates an executor.
   *
   * @param claims writes the claim rows
   * @param sender sends the attempts
   * @param endpointSelector selects the endpoint of each attempt
   * @param clock clock for the deadlines of claims
   * @param maximumResponseBytes maximum size of a response, in bytes
   */
  public AtMostOnceExecutor(
      ClaimWriter claims,
      AttemptSender sender,
      EndpointSelector endpointSelector,
      InstantSource clock,
      int maximumResponseBytes) {
    this.claims = claims;
    this.sender = sender;
    this.endpointSelector = endpointSelector;
    this.clock = clock;
    this.maximumResponseBytes = maximumResponseBytes;
  }

  @Override
  public BufferedResponse forward(
      RequestContext context, PlainService service, HttpFields headers, RequestTemplate template) {
    String key = headers.get(HeaderNames.IDEMPOTENCY_KEY);
    if (key == null) {
      return execute(context, service, template, null);
    }
    if (key.isBlank() || key.length() > MAXIMUM_KEY_LENGTH) {
      throw MagnoliavaleException.of(
          ErrorCode.INVALID_REQUEST,
          HeaderNames.IDEMPOTENCY_KEY + " must have 1 to " + MAXIMUM_KEY_LENGTH + " characters");
    }
    String rowKey = "claim/" + service.name() + "/" + Sha256.of(context.team() + "\n" + key);
    Claim claim = newClaim(context, template);
    return switch (claims.write(rowKey, Row.ABSENT, Json.text(claim))) {
      case ClaimWriteResult.Written(long version) ->
          execute(context, service, template, new OwnedClaim(rowKey, version, claim));
      case ClaimWriteResult.Differs(Row row) ->
          respondToDuplicate(context, row, claim.contentHash());
      case ClaimWriteResult.NotWritten(String reason) ->
          throw notRun("the request could not be claimed: " + reason);
      case ClaimWriteResult.Unresolved(String reason) -> {
        releaseInBackground(rowKey, claim);
        throw unknownOutcome("the claim of the request is uncertain: " + reason);
      }
    };
  }

  private Claim newClaim(RequestContext context, RequestTemplate template) {
    long leftMs = Math.max(0, context.remainingMs(System.nanoTime()));
    return new Claim(
        UUID.randomUUID().toString(),
        Sha256.ofRequest(template.method() + " " + template.path(), template.body()),
        ClaimState.CLAIMED,
        clock.millis() + leftMs,
        null);
  }

  /** Responds to a request whose idempotency key is already claimed. */
  private BufferedResponse respondToDuplicate(RequestContext context, Row row, String contentHash) {
    Claim first = parse(row);
    LOG.infof("Duplicate request. request=%s state=%s", context.requestId(), first.state());
    if (!first.contentHash().equals(contentHash)) {
      throw MagnoliavaleException.of(
          ErrorCode.IDEMPOTENCY_KEY_REUSED, "the idempotency key was used for a different request");
    }
    return switch (first.state()) {
      case DONE ->
          new BufferedResponse(
              first.outcome().status(), first.outcome().contentType(), first.outcome().body());
      case UNKNOWN -> throw unknownOutcome("the response to an earlier request is not recorded");
      case CLAIMED -> {
        if (clock.millis() < first.deadlineMs() + CLAIM_GRACE.toMillis()) {
          throw MagnoliavaleException.of(
                  ErrorCode.ORDER_IN_PROGRESS, "a request with this key is in progress")
              .withRetryAfter(RETRY_AFTER);
        }
        throw unknownOutcome("an earlier request with this key did not complete");
      }
    };
  }

  /** Sends the request; {@code held} is null for a request without an idempotency key. */
  private BufferedResponse execute(
      RequestContext context, PlainService service, RequestTemplate template, OwnedClaim held) {
    Target target = new Target.OfService(service.name());
    Set<EndpointId> attemptedEndpoints = new HashSet<>();
    String reason = "the service has no available server";
    while (context.remainingMs(System.nanoTime()) > 0) {
      Optional<RouteDecision> decision =
          endpointSelector.select(target, attemptedEndpoints, System.nanoTime());
      if (decision.isEmpty()) {
        break;
      }
      attemptedEndpoints.add(decision.get().candidate().endpoint().id());
      String attemptId = UUID.randomUUID().toString();
      endpointSelector.logDecision(context, attemptId, target, decision.get());
      EndpointLoad load = decision.get().candidate().load();
      load.begin();
      try {
        switch (sender.sendOnNewConnection(attempt(context, template, decision.get(), attemptId))) {
          case AttemptResult.NotSent(String failure) -> {
            // Nothing was sent, so another server may be tried under the same claim.
            endpointSelector.logFailure(context, attemptId, failure);
            reason = failure;
          }
          case AttemptResult.Failed(String failure, boolean ignored) -> {
            endpointSelector.logFailure(context, attemptId, failure);
            throw markUnknown(held, failure);
          }
          case AttemptResult.Responded(EndpointResponse response) -> {
            return record(held, read(response, held));
          }
        }
      } finally {
        load.end();
      }
    }
    throw release(held, reason);
  }

  private static AttemptRequest attempt(
      RequestContext context, RequestTemplate template, RouteDecision decision, String attemptId) {
    Duration remaining = Duration.ofMillis(Math.max(1, context.remainingMs(System.nanoTime())));
    HttpFields.Mutable headers = HttpFields.build(template.headers());
    headers.put(HeaderNames.REQUEST_ID, context.requestId());
    if (context.traceParent() != null) {
      headers.put(HeaderNames.TRACE_PARENT, context.traceParent());
    }
    return new AttemptRequest(
        attemptId,
        decision.candidate().endpoint(),
        template.method(),
        template.path(),
        headers,
        template.body(),
        remaining,
        remaining,
        remaining);
  }

  private BufferedResponse read(EndpointResponse response, OwnedClaim held) {
    try {
      byte[] body = response.readFully(maximumResponseBytes);
      String type = response.contentType().orElse("application/octet-stream");
      return new BufferedResponse(response.status(), type, body);
    } catch (IOException e) {
      response.abandon("incomplete response");
      throw markUnknown(held, "the response is incomplete: " + e.getMessage());
    }
  }

  /** Records a complete response. The caller gets the response even if recording it fails. */
  private BufferedResponse record(OwnedClaim held, BufferedResponse response) {
    if (held == null) {
      return response;
    }
    boolean fits = response.body().length <= MAXIMUM_RECORDED_BYTES;
    Claim last =
        fits
            ? held.claim()
                .asDone(
                    new Claim.Outcome(response.status(), response.contentType(), response.body()))
            : held.claim().asUnknown();
    ClaimWriteResult written = claims.write(held.rowKey(), held.version(), Json.text(last));
    if (!(written instanceof ClaimWriteResult.Written)) {
      LOG.warnf("Outcome not recorded. claim=%s result=%s", held.claim().claimId(), written);
    }
    return response;
  }

  private MagnoliavaleException markUnknown(OwnedClaim held, String reason) {
    if (held != null) {
      claims.write(held.rowKey(), held.version(), Json.text(held.claim().asUnknown()));
    }
    return unknownOutcome(reason);
  }

  /** Releases the claim of a request of which no byte was sent. */
  private MagnoliavaleException release(OwnedClaim held, String reason) {
    if (held == null) {
      return notRun(reason);
    }
    ClaimWriteResult released = claims.write(held.rowKey(), held.version(), null);
    if (released instanceof ClaimWriteResult.Written) {
      return notRun(reason);
    }
    releaseInBackground(held.rowKey(), held.claim());
    return unknownOutcome("the request was not sent, but its claim could not be released");
  }

  /**
   * Retries the release of a claim in the background, so that its key becomes usable again. No byte
   * of the request was sent.
   */
  private void releaseInBackground(String rowKey, Claim claim) {
    Thread.startVirtualThread(
        () -> {
          for (int attempt = 0; attempt < MAXIMUM_RELEASE_ATTEMPTS; attempt++) {
            if (tryRelease(rowKey, claim)) {
              LOG.infof("Claim released in background. claim=%s", claim.claimId());
              return;
            }
            try {
              Thread.sleep(RELEASE_INTERVAL);
            } catch (InterruptedException e) {
              return;
            }
          }
        });
  }

  private boolean tryRelease(String rowKey, Claim claim) {
    // Writing the claim again shows whether it exists, and makes a delayed first write fail.
    String text = Json.text(claim);
    return switch (claims.write(rowKey, Row.ABSENT, text)) {
      case ClaimWriteResult.Written(long version) ->
          claims.write(rowKey, version, null) instanceof ClaimWriteResult.Written;
      case ClaimWriteResult.Differs ignored -> true;
      case ClaimWriteResult.NotWritten ignored -> false;
      case ClaimWriteResult.Unresolved ignored -> false;
    };
  }

  private static Claim parse(Row row) {
    try {
      return Json.read(row.value(), Claim.class);
    } catch (IOException e) {
      throw MagnoliavaleException.of(ErrorCode.INTERNAL, "row " + row.key() + " is malformed");
    }
  }

  private static MagnoliavaleException notRun(String reason) {
    return MagnoliavaleException.of(ErrorCode.ORDER_NOT_RUN, "the request was not run: " + reason)
        .withRetryAfter(RETRY_AFTER);
  }

  private static MagnoliavaleException unknownOutcome(String reason) {
    return MagnoliavaleException.of(
        ErrorCode.ORDER_OUTCOME_UNKNOWN, "whether the request was run is unknown: " + reason);
  }
}
