package org.magnoliavale.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.magnoliavale.internal.call.CallMetadata;
import org.magnoliavale.internal.call.CallProtocol;
import org.magnoliavale.internal.call.ForwardingContext;
import org.magnoliavale.internal.call.PeerCalls;
import org.magnoliavale.internal.call.ResponseHead;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.dispatch.GenerationRequest;
import org.magnoliavale.internal.dispatch.PromptSegment;
import org.magnoliavale.internal.dispatch.ReportedLoad;
import org.magnoliavale.internal.tenant.CallerCredential;

/** HTTP headers of the platform's clients and workers. */
final class WorkerProtocol implements CallProtocol {
  private static final String ATTEMPT_ID = "X-Request-Attempt-Id";
  private static final String TIME_REMAINING = "X-Time-Remaining";
  private static final String LAST_EVENT_ID = "Last-Event-Id";
  private static final String RESUMES = "Resumes";
  private static final String EXPECTED_INSTANCE = "X-Expected-Instance";
  private static final String INSTANCE_ID = "X-Instance-Id";
  private static final String SIGNATURE = "X-Response-Signature";
  private static final String SERVER_LOAD = "X-Server-Load";
  private static final String NOT_EXECUTED = "X-Not-Executed";
  private static final String MODEL = "X-Model";
  private static final String TOKEN_COUNTS = "X-Token-Counts";
  private static final String PROMPT_PREFIX = "X-Prompt-Prefix";
  private static final String LENGTH_HINT = "X-Length-Hint";
  private static final String KEY = "X-Key";
  private static final String TENANT = "X-Tenant";
  private static final String PRIORITY = "X-Request-Priority";

  private static final int MISDIRECTED_REQUEST = 421;

  /** Longest time that a caller is taken to wait; any route ends its calls sooner. */
  private static final long MAXIMUM_TIME_REMAINING_MS = TimeUnit.DAYS.toMillis(1);

  /** Most tokens that a part of a request is taken to have. */
  private static final long MAXIMUM_TOKENS = 10_000_000;

  private static final int LOAD_VALUES = 3;

  /** Index of the optional value of a load header that tells how long work takes, in percent. */
  private static final int SLOWDOWN_VALUE = 3;

  private static final long MINIMUM_SLOWDOWN_PERCENT = 10;
  private static final long MAXIMUM_SLOWDOWN_PERCENT = 10_000;

  /** Most requests or slots that a worker is taken to report. */
  private static final long MAXIMUM_REPORTED_REQUESTS = 1_000_000;

  /** Hop-by-hop headers, which are not forwarded. */
  private static final Set<String> HOP_BY_HOP_HEADERS =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "expect",
          "content-length");

  /** Request headers that callers may not set; they are dropped before forwarding to a worker. */
  private static final Set<String> RESERVED_HEADERS =
      Set.of(
          "x-hold",
          "x-pin-duration",
          "x-key-value-backup",
          "kv-from",
          "kv-fetch",
          "x-request-priority",
          "x-expected-instance",
          "x-time-remaining",
          "last-event-id",
          "accept-encoding",
          PeerCalls.PROOF_HEADER);

  /** Request headers that are dropped as well while keys are in use. */
  private static final Set<String> KEY_HEADERS = Set.of("x-key", "x-tenant");

  /** Response headers of workers that are for instances and not forwarded to the caller. */
  private static final Set<String> INSTANCE_ONLY_HEADERS =
      Set.of("x-server-load", "x-instance-id", "x-not-executed", "server-limit", "server-leaving");

  @Override
  public CallMetadata parseRequest(HttpFields fromCaller) {
    return new CallMetadata(
        Objects.requireNonNullElse(fromCaller.get(ATTEMPT_ID), ""),
        BoundedNumbers.whole(fromCaller.get(TIME_REMAINING), 0, MAXIMUM_TIME_REMAINING_MS)
            .map(Duration::ofMillis),
        parseEventId(fromCaller.get(LAST_EVENT_ID)),
        Objects.requireNonNullElse(fromCaller.get(RESUMES), ""),
        parseGeneration(fromCaller),
        parseCredential(fromCaller));
  }

  private static CallerCredential parseCredential(HttpFields headers) {
    List<String> keys =
        headers.stream()
            .filter(field -> field.is(KEY))
            .map(field -> Objects.requireNonNullElse(field.getValue(), ""))
            .toList();
    if (keys.isEmpty()) {
      return new CallerCredential.Absent();
    }
    return keys.size() > 1 || keys.getFirst().isEmpty()
        ? new CallerCredential.Malformed()
        : new CallerCredential.Key(keys.getFirst());
  }

  private static Optional<GenerationRequest> parseGeneration(HttpFields headers) {
    String model = headers.get(MODEL);
    if (model == null) {
      return Optional.empty();
    }
    String counts = headers.get(TOKEN_COUNTS);
    String[] numbers = counts == null ? new String[0] : counts.split(",");
    int prompt = numbers.length > 0 ? parseTokens(numbers[0]) : 0;
    int output = numbers.length > 1 ? parseTokens(numbers[1]) : 0;
    int expected = Math.min(output, parseExpectedTokens(headers.get(LENGTH_HINT), output));
    return Optional.of(
        new GenerationRequest(
            Artifact.parse(model),
            prompt,
            output,
            expected,
            parsePromptSegments(headers.get(PROMPT_PREFIX))));
  }

  private static List<PromptSegment> parsePromptSegments(String prefix) {
    List<PromptSegment> parts = new ArrayList<>();
    if (prefix == null) {
      return parts;
    }
    for (String part : prefix.split(",")) {
      int colon = part.indexOf(':');
      if (colon > 0) {
        int tokens = parseTokens(part.substring(colon + 1));
        parts.add(new PromptSegment(part.substring(0, colon).strip(), tokens));
      }
    }
    return parts;
  }

  private static int parseExpectedTokens(String hint, int absent) {
    return BoundedNumbers.whole(hint, 0, MAXIMUM_TOKENS).map(Long::intValue).orElse(absent);
  }

  private static int parseTokens(String text) {
    return BoundedNumbers.whole(text, 0, MAXIMUM_TOKENS).orElse(0L).intValue();
  }

  @Override
  public HttpFields requestHeaders(HttpFields fromCaller, ForwardingContext forwarding) {
    Predicate<String> keyHeader =
        forwarding.caller().isChecked() ? WorkerProtocol::isKeyHeader : name -> false;
    HttpFields.Mutable headers = endToEnd(fromCaller, keyHeader.or(RESERVED_HEADERS::contains));
    forwarding.caller().knownTenant().ifPresent(tenant -> headers.put(TENANT, tenant.id().value()));
    headers.put(EXPECTED_INSTANCE, forwarding.endpoint().id());
    headers.put(TIME_REMAINING, Long.toString(forwarding.timeRemaining().toMillis()));
    headers.put(PRIORITY, Integer.toString(forwarding.urgency()));
    forwarding.lastEventId().ifPresent(id -> headers.put(LAST_EVENT_ID, Long.toString(id)));
    return headers;
  }

  @Override
  public HttpFields peerRequestHeaders(
      HttpFields fromCaller,
      String attemptId,
      Duration timeRemaining,
      Optional<Long> resumedAfter) {
    HttpFields.Mutable headers = endToEnd(fromCaller, PeerCalls.PROOF_HEADER::equals);
    headers.put(TIME_REMAINING, Long.toString(timeRemaining.toMillis()));
    resumedAfter.ifPresent(
        event -> headers.put(LAST_EVENT_ID, Long.toString(event)).put(RESUMES, attemptId));
    return headers;
  }

  /** Returns whether a header, in lower case, is one of the key's to a server that reads _ as -. */
  private static boolean isKeyHeader(String name) {
    return KEY_HEADERS.contains(name.replace('_', '-'));
  }

  @Override
  public ResponseHead parseResponse(int status, HttpFields fromEndpoint) {
    String id = fromEndpoint.get(ATTEMPT_ID);
    String contentType = fromEndpoint.get("Content-Type");
    boolean success = HttpStatus.isSuccess(status);
    boolean statesNotExecuted = fromEndpoint.contains(NOT_EXECUTED);
    boolean notExecuted = statesNotExecuted && !success || status == MISDIRECTED_REQUEST;
    return new ResponseHead(
        status,
        id == null ? "" : id,
        // A success that says it was not executed contradicts itself, so neither statement counts.
        fromEndpoint.contains(SIGNATURE) && !(success && statesNotExecuted),
        notExecuted,
        // Another incarnation sends its own id with 421; a worker without the model does not.
        status == MISDIRECTED_REQUEST && fromEndpoint.contains(INSTANCE_ID),
        contentType != null && contentType.startsWith("text/event-stream"),
        fromEndpoint.contains("Content-Encoding"),
        parseLoad(fromEndpoint.get(SERVER_LOAD)),
        notExecuted
            ? WorkerStatements.decodeOther(status, fromEndpoint)
            : WorkerStatements.decode(status, fromEndpoint));
  }

  /**
   * Parses a load header: running requests, waiting requests and slots, separated by commas, and
   * how long work takes, in percent of the usual, if it is stated.
   */
  private static Optional<ReportedLoad> parseLoad(String value) {
    if (value == null) {
      return Optional.empty();
    }
    String[] parts = value.split(",");
    if (parts.length < LOAD_VALUES) {
      return Optional.empty();
    }
    List<Integer> counts = new ArrayList<>();
    for (int i = 0; i < LOAD_VALUES; i++) {
      parseCount(parts[i]).ifPresent(counts::add);
    }
    return counts.size() < LOAD_VALUES
        ? Optional.empty()
        : Optional.of(
            new ReportedLoad(counts.get(0), counts.get(1), counts.get(2), parseSlowdown(parts)));
  }

  private static int parseSlowdown(String[] parts) {
    if (parts.length <= SLOWDOWN_VALUE) {
      return ReportedLoad.USUAL_PERCENT;
    }
    return BoundedNumbers.whole(
            parts[SLOWDOWN_VALUE], MINIMUM_SLOWDOWN_PERCENT, MAXIMUM_SLOWDOWN_PERCENT)
        .map(Long::intValue)
        .orElse(ReportedLoad.USUAL_PERCENT);
  }

  /** Returns the number of requests or slots in a load header; empty if it is negative. */
  private static Optional<Integer> parseCount(String text) {
    return BoundedNumbers.whole(text, -1, MAXIMUM_REPORTED_REQUESTS)
        .filter(count -> count >= 0)
        .map(Long::intValue);
  }

  @Override
  public HttpFields responseHeaders(HttpFields fromEndpoint) {
    return endToEnd(fromEndpoint, INSTANCE_ONLY_HEADERS::contains);
  }

  @Override
  public HttpFields localResponseHeaders(String attemptId) {
    return attemptId.isEmpty() ? HttpFields.EMPTY : HttpFields.build().put(ATTEMPT_ID, attemptId);
  }

  private static HttpFields.Mutable endToEnd(HttpFields headers, Predicate<String> excluded) {
    Set<String> connectionHeaders = connectionTokens(headers);
    HttpFields.Mutable result = HttpFields.build();
    for (HttpField field : headers) {
      String name = field.getLowerCaseName();
      if (!HOP_BY_HOP_HEADERS.contains(name)
          && !excluded.test(name)
          && !connectionHeaders.contains(name)) {
        result.add(field);
      }
    }
    return result;
  }

  /** Returns the header names that the Connection header lists; these are hop-by-hop, too. */
  private static Set<String> connectionTokens(HttpFields headers) {
    String value = headers.get("Connection");
    if (value == null) {
      return Set.of();
    }
    Set<String> names = new java.util.HashSet<>();
    for (String name : value.toLowerCase(Locale.ROOT).split(",")) {
      names.add(name.strip());
    }
    return names;
  }

  /** Parses an id, which has no bounds: events are only compared by it. */
  private static Optional<Long> parseEventId(String text) {
    if (text == null) {
      return Optional.empty();
    }
    try {
      return Optional.of(Long.parseLong(text.strip()));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
