package org.magnoliavale.internal.instance;

import java.io.IOException;
import java.time.Duration;
import java.util.Set;
import java.util.UUID;
import org.eclipse.jetty.http.HttpFields;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.document.PlainService;
import org.magnoliavale.internal.routing.RouteDecision;
import org.magnoliavale.internal.traffic.AttemptRequest;
import org.magnoliavale.internal.traffic.AttemptStart;
import org.magnoliavale.internal.traffic.CallTemplate;
import org.magnoliavale.internal.traffic.Forwarder;
import org.magnoliavale.internal.traffic.OpenAnswer;
import org.magnoliavale.internal.traffic.OrderDesk;
import org.magnoliavale.internal.traffic.RequestContext;
import org.magnoliavale.internal.traffic.Target;
import org.magnoliavale.internal.traffic.WholeAnswer;

/** Places an order with one attempt that is never repeated. */
final class SingleAttemptDesk implements OrderDesk {
  private final Forwarder forwarder;

  SingleAttemptDesk(Forwarder forwarder) {
    this.forwarder = forwarder;
  }

  @Override
  public WholeAnswer place(
      RequestContext context, PlainService service, HttpFields headers, CallTemplate template) {
    Target target = new Target.OfService(service.name());
    RouteDecision decision =
        forwarder
            .routing()
            .choose(target, Set.of(), System.nanoTime())
            .orElseThrow(() -> notRun("no server of the service is known"));
    String attemptId = UUID.randomUUID().toString();
    forwarder.routing().logDecision(context, attemptId, target, decision);
    Duration left = Duration.ofMillis(Math.max(1, context.leftMs(System.nanoTime())));
    AttemptRequest attempt =
        new AttemptRequest(
            attemptId,
            decision.candidate().endpoint(),
            template.method(),
            template.path(),
            template.headers(),
            template.body(),
            left,
            left,
            left);
    return switch (forwarder.client().sendOnce(attempt)) {
      case AttemptStart.NotSent(String reason) -> throw notRun(reason);
      case AttemptStart.Failed(String reason) -> throw unknown(reason);
      case AttemptStart.Opened(OpenAnswer answer) -> read(answer);
    };
  }

  private WholeAnswer read(OpenAnswer answer) {
    try {
      byte[] body = answer.readWhole(forwarder.settings().maximumAnswerBytes());
      String type = answer.contentType().orElse("application/octet-stream");
      return new WholeAnswer(answer.status(), type, body);
    } catch (IOException e) {
      throw unknown("answer is not whole: " + e.getMessage());
    }
  }

  private static MagnoliavaleException notRun(String reason) {
    return MagnoliavaleException.of(ErrorCode.ORDER_NOT_RUN, "the order was not run: " + reason);
  }

  private static MagnoliavaleException unknown(String reason) {
    return MagnoliavaleException.of(
        ErrorCode.ORDER_OUTCOME_UNKNOWN, "whether the order was run is not known: " + reason);
  }
}
