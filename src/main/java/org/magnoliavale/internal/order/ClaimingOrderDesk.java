package org.magnoliavale.internal.order;

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
import org.magnoliavale.internal.http.EngineHeaders;
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
 * Runs each order at most once over the whole fleet.
 *
 * <p>A claim row is committed before the first byte is handed to a connection. A second call with
 * the same key finds the row: it gets the recorded answer, or learns that the order is in progress
 * or that its outcome is unknown, and never runs. Only the instance that made the claim says that
 * an order was not run, before any byte was handed over, and only after the claim is gone, so that
 * the caller's next call can run.
 */
public final class ClaimingOrderDesk implements AtMostOnceForwarder {
  private static final Logger LOG = Logs.of("order");
  private static final int MAXIMUM_KEY_LENGTH = 255;
  private static final int MAXIMUM_RECORDED_BYTES = 64 * 1024;
  private static final int RELEASE_TRIES = 600;
  private static final Duration RELEASE_INTERVAL = Duration.ofSeconds(1);

  /** A claim is given up this long after its deadline; covers differing clocks. */
  private static final Duration CLAIM_GRACE = Duration.ofSeconds(2);

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private record Held(String rowKey, long version, Claim claim) {}

  private final ClaimTable claims;
  private final AttemptSender sender;
  private final EndpointSelector routing;
  private final InstantSource clock;
  private final int maximumAnswerBytes;

  /** Returns a desk over a table of claims. */
  public ClaimingOrderDesk(
      ClaimTable claims,
      AttemptSender sender,
      EndpointSelector routing,
      InstantSource clock,
      int maximumAnswerBytes) {
    this.claims = claims;
    this.sender = sender;
    this.routing = routing;
    this.clock = clock;
    this.maximumAnswerBytes = maximumAnswerBytes;
  }

  @Override
  public BufferedResponse forward(
      RequestContext context, PlainService service, HttpFields headers, RequestTemplate template) {
    String key = headers.get(EngineHeaders.IDEMPOTENCY_KEY);
    if (key == null) {
      return run(context, service, template, null);
    }
    if (key.isBlank() || key.length() > MAXIMUM_KEY_LENGTH) {
      throw MagnoliavaleException.of(
          ErrorCode.INVALID_REQUEST,
          EngineHeaders.IDEMPOTENCY_KEY + " must have 1 to " + MAXIMUM_KEY_LENGTH + " characters");
    }
    String rowKey = "claim/" + service.name() + "/" + Sha256.of(context.team() + "\n" + key);
    Claim claim = newClaim(context, template);
    return switch (claims.write(rowKey, Row.ABSENT, Json.text(claim))) {
      case ClaimWrite.Written(long version) ->
          run(context, service, template, new Held(rowKey, version, claim));
      case ClaimWrite.Differs(Row row) -> duplicate(context, row, claim.contentHash());
      case ClaimWrite.NotWritten(String reason) ->
          throw notRun("the order could not be claimed: " + reason);
      case ClaimWrite.Unresolved(String reason) -> {
        releaseLater(rowKey, claim);
        throw unknownOutcome("the order could not be claimed for certain: " + reason);
      }
    };
  }

  private Claim newClaim(RequestContext context, RequestTemplate template) {
    long leftMs = Math.max(0, context.remainingMs(System.nanoTime()));
    return new Claim(
        UUID.randomUUID().toString(),
        Sha256.ofCall(template.method() + " " + template.path(), template.body()),
        ClaimState.CLAIMED,
        clock.millis() + leftMs,
        null);
  }

  /** Answers a call whose key was claimed before. */
  private BufferedResponse duplicate(RequestContext context, Row row, String contentHash) {
    Claim first = parse(row);
    LOG.infof("Duplicate order. request=%s state=%s", context.requestId(), first.state());
    if (!first.contentHash().equals(contentHash)) {
      throw MagnoliavaleException.of(
          ErrorCode.IDEMPOTENCY_KEY_REUSED, "the key was used before with other content");
    }
    return switch (first.state()) {
      case DONE ->
          new BufferedResponse(
              first.outcome().status(), first.outcome().contentType(), first.outcome().body());
      case UNKNOWN -> throw unknownOutcome("an earlier call with this key had no answer");
      case CLAIMED -> {
        if (clock.millis() < first.deadlineMs() + CLAIM_GRACE.toMillis()) {
          throw MagnoliavaleException.of(
                  ErrorCode.ORDER_IN_PROGRESS, "a call with this key is in progress")
              .withRetryAfter(RETRY_AFTER);
        }
        throw unknownOutcome("an earlier call with this key never finished");
      }
    };
  }

  /** Sends the order; {@code held} is null for an order without a key. */
  private BufferedResponse run(
      RequestContext context, PlainService service, RequestTemplate template, Held held) {
    Target target = new Target.OfService(service.name());
    Set<EndpointId> avoided = new HashSet<>();
    String reason = "no server of the service is known";
    while (context.remainingMs(System.nanoTime()) > 0) {
      Optional<RouteDecision> decision = routing.select(target, avoided, System.nanoTime());
      if (decision.isEmpty()) {
        break;
      }
      avoided.add(decision.get().candidate().endpoint().id());
      String attemptId = UUID.randomUUID().toString();
      routing.logDecision(context, attemptId, target, decision.get());
      EndpointLoad load = decision.get().candidate().load();
      load.begin();
      try {
        switch (sender.sendOnNewConnection(attempt(context, template, decision.get(), attemptId))) {
          case AttemptResult.NotSent(String why) -> {
            // No byte left, so another server may be tried under the same claim.
            routing.logFailure(context, attemptId, why);
            reason = why;
          }
          case AttemptResult.Failed(String why, boolean ignored) -> {
            routing.logFailure(context, attemptId, why);
            throw markUnknown(held, why);
          }
          case AttemptResult.Responded(EndpointResponse answer) -> {
            return record(held, read(answer, held));
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
    Duration left = Duration.ofMillis(Math.max(1, context.remainingMs(System.nanoTime())));
    HttpFields.Mutable headers = HttpFields.build(template.headers());
    headers.put(EngineHeaders.REQUEST, context.requestId());
    if (context.traceParent() != null) {
      headers.put(EngineHeaders.TRACE_PARENT, context.traceParent());
    }
    return new AttemptRequest(
        attemptId,
        decision.candidate().endpoint(),
        template.method(),
        template.path(),
        headers,
        template.body(),
        left,
        left,
        left);
  }

  private BufferedResponse read(EndpointResponse answer, Held held) {
    try {
      byte[] body = answer.readFully(maximumAnswerBytes);
      String type = answer.contentType().orElse("application/octet-stream");
      return new BufferedResponse(answer.status(), type, body);
    } catch (IOException e) {
      answer.abandon("answer is not whole");
      throw markUnknown(held, "the answer is not whole: " + e.getMessage());
    }
  }

  /** Records a whole answer. The caller gets it even if recording fails: it is what happened. */
  private BufferedResponse record(Held held, BufferedResponse answer) {
    if (held == null) {
      return answer;
    }
    boolean fits = answer.body().length <= MAXIMUM_RECORDED_BYTES;
    Claim last =
        fits
            ? held.claim()
                .done(new Claim.Outcome(answer.status(), answer.contentType(), answer.body()))
            : held.claim().unknown();
    ClaimWrite written = claims.write(held.rowKey(), held.version(), Json.text(last));
    if (!(written instanceof ClaimWrite.Written)) {
      LOG.warnf("Outcome not recorded. claim=%s result=%s", held.claim().claimId(), written);
    }
    return answer;
  }

  private MagnoliavaleException markUnknown(Held held, String reason) {
    if (held != null) {
      claims.write(held.rowKey(), held.version(), Json.text(held.claim().unknown()));
    }
    return unknownOutcome(reason);
  }

  /** Gives up an order of which no byte was sent. */
  private MagnoliavaleException release(Held held, String reason) {
    if (held == null) {
      return notRun(reason);
    }
    ClaimWrite released = claims.write(held.rowKey(), held.version(), null);
    if (released instanceof ClaimWrite.Written) {
      return notRun(reason);
    }
    releaseLater(held.rowKey(), held.claim());
    return unknownOutcome("the order was not sent, but its claim could not be released");
  }

  /** Keeps trying to release a claim of which no byte was sent, so that its key can be used. */
  private void releaseLater(String rowKey, Claim claim) {
    Thread.startVirtualThread(
        () -> {
          for (int attempt = 0; attempt < RELEASE_TRIES; attempt++) {
            if (tryRelease(rowKey, claim)) {
              LOG.infof("Claim released late. claim=%s", claim.claimId());
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
    // Writing the claim anew tells whether it is there, and makes a late first write fail.
    String text = Json.text(claim);
    return switch (claims.write(rowKey, Row.ABSENT, text)) {
      case ClaimWrite.Written(long version) ->
          claims.write(rowKey, version, null) instanceof ClaimWrite.Written;
      case ClaimWrite.Differs ignored -> true;
      case ClaimWrite.NotWritten ignored -> false;
      case ClaimWrite.Unresolved ignored -> false;
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
    return MagnoliavaleException.of(ErrorCode.ORDER_NOT_RUN, "the order was not run: " + reason)
        .withRetryAfter(RETRY_AFTER);
  }

  private static MagnoliavaleException unknownOutcome(String reason) {
    return MagnoliavaleException.of(
        ErrorCode.ORDER_OUTCOME_UNKNOWN, "whether the order was run is not known: " + reason);
  }
}
