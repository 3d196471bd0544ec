package org.magnoliavale.internal.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointDepartures;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.limit.EndpointLimits;
import org.magnoliavale.internal.route.EngineSpecification;

/** Selects endpoints as an instance does. */
final class ForecastSelection implements LoadedFleet.Selection {
  private static final Artifact MODEL = Artifact.parse("m");
  private static final int CONNECTIONS = 10_000;
  private static final long TARGET_MS = 500;
  private static final long TARGET_GAP_MS = 300;
  private static final long DEADLINE_MS = 10_000;

  private final EndpointPool pool;
  private long requests;

  ForecastSelection(int endpoints, int instances, Random random) {
    EngineSpecification engine =
        new EngineSpecification(
            LoadedFleet.SLOTS, LoadedFleet.MEMORY_TOKENS, 1_000, 8, 10, Map.of());
    pool =
        new EndpointPool(
            "east",
            () -> instances,
            new EndpointDepartures(),
            EndpointLimits.ofSingleInstance(),
            random,
            service -> Optional.of(engine),
            milliseconds -> {});
    List<DirectoryEntry> entries = new ArrayList<>();
    for (int i = 0; i < endpoints; i++) {
      entries.add(TestEntries.withSlots(TestEntries.entry(name(i), 1, "m"), LoadedFleet.SLOTS));
    }
    pool.update(entries, 0);
  }

  private static String name(int endpoint) {
    return "e" + endpoint;
  }

  private static EndpointIdentity identity(int endpoint) {
    return new EndpointIdentity(name(endpoint), 1);
  }

  @Override
  public int choose(LoadedFleet.Request request, long nowNanos) {
    String session = "session-" + System.identityHashCode(this) + "-" + requests++;
    GenerationRequest generation =
        new GenerationRequest(
            MODEL,
            request.promptTokens,
            2 * request.outputTokens,
            request.outputTokens,
            List.of(
                new PromptSegment("shared", LoadedFleet.SHARED_TOKENS),
                new PromptSegment(session, request.promptTokens - LoadedFleet.SHARED_TOKENS)));
    long ageMs = TimeUnit.NANOSECONDS.toMillis(nowNanos) - request.arrivedMs;
    CallUrgency urgency =
        new CallUrgency(
            Duration.ofMillis(TARGET_MS - ageMs),
            Duration.ofMillis(DEADLINE_MS - ageMs),
            Duration.ofMillis(TARGET_GAP_MS),
            0);
    SelectionCriteria criteria =
        new SelectionCriteria(
            TestEntries.SERVICE, Optional.of(generation), Optional.of(urgency), Set.of());
    if (pool.choose(criteria, CONNECTIONS, nowNanos) instanceof EndpointChoice.Selected choice) {
      request.handle = choice;
      return Integer.parseInt(choice.endpoint().identity().id().substring(1));
    }
    return -1;
  }

  @Override
  public void reported(int endpoint, ReportedLoad load, long nowNanos) {
    pool.recordActivity(identity(endpoint), nowNanos);
    pool.recordLoad(identity(endpoint), load, nowNanos);
  }

  @Override
  public void event(LoadedFleet.Request request, long nowNanos) {
    pool.recordActivity(identity(request.endpoint), nowNanos);
    pool.recordEvent((EndpointChoice.Selected) request.handle, nowNanos);
  }

  @Override
  public void ended(LoadedFleet.Request request, boolean rejected, long nowNanos) {
    pool.attemptEnded(
        (EndpointChoice.Selected) request.handle,
        rejected ? AttemptOutcome.OVERLOADED : AttemptOutcome.ANSWERED,
        nowNanos);
  }

  @Override
  public void tell(List<LoadedFleet.Selection> peers, boolean relayed, long nowNanos) {
    List<LoadObservation> loads = pool.takeChangedLoads(relayed, nowNanos);
    peers.forEach(peer -> ((ForecastSelection) peer).pool.learnLoads(loads, nowNanos));
  }
}
