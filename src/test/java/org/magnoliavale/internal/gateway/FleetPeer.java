package org.magnoliavale.internal.gateway;

import java.time.Duration;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.LongSupplier;
import org.magnoliavale.internal.call.ArtifactDemand;
import org.magnoliavale.internal.containment.CrashRegistry;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointDepartures;
import org.magnoliavale.internal.directory.EndpointDirectory;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.directory.EndpointStatement;
import org.magnoliavale.internal.directory.LimitStatement;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.dispatch.AttemptOutcome;
import org.magnoliavale.internal.dispatch.EndpointChoice;
import org.magnoliavale.internal.dispatch.EndpointPool;
import org.magnoliavale.internal.dispatch.GenerationRequest;
import org.magnoliavale.internal.dispatch.SelectionCriteria;
import org.magnoliavale.internal.dispatch.TestEntries;
import org.magnoliavale.internal.lease.LeaseManager;
import org.magnoliavale.internal.lease.LeaseTimes;
import org.magnoliavale.internal.limit.EndpointLimits;
import org.magnoliavale.internal.link.Membership;
import org.magnoliavale.internal.residency.FleetDemand;
import org.magnoliavale.internal.residency.ResidencyChangeLog;

/**
 * What one instance knows of the endpoints and tells its peers; it never holds the lease. Endpoints
 * hold the model {@code m}.
 */
final class FleetPeer {
  private static final int LIMIT = 1_000;
  private static final int CHOICES = 50;

  private final String id;
  private final LongSupplier nanoClock;
  private final EndpointDepartures departures = new EndpointDepartures();
  private final EndpointDirectory directory = new EndpointDirectory(departures);
  private final EndpointLimits limits = EndpointLimits.ofSingleInstance();
  private final EndpointPool pool =
      new EndpointPool("east", () -> 2, departures, limits, new Random(1));
  private final PeerStateExchange exchange;

  FleetPeer(String id, LongSupplier nanoClock) {
    this.id = id;
    this.nanoClock = nanoClock;
    exchange =
        new PeerStateExchange(
            id,
            new Membership(Duration.ofSeconds(5)),
            new CrashRegistry(id, InstantSource.system()),
            new ArtifactDemand(() -> {}),
            new FleetDemand(),
            pool,
            departures,
            limits,
            nanoClock);
    LeaseTimes times = LeaseTimes.of(Duration.ofSeconds(3), Duration.ofMillis(200));
    exchange.initialize(
        new CommandLeaseManager(
            new LeaseManager("orders", id, times, new Random(1)),
            new FakeTable(),
            () -> true,
            GatewayFixture.failures()),
        new ResidencyChangeLog(),
        () -> {},
        () -> {});
  }

  /** Reads the directory; returns whether there is something to tell the peers at once. */
  boolean read(DirectoryEntry... listed) {
    long now = nanoClock.getAsLong();
    pool.update(directory.update(List.of(listed), now), now);
    return departures.takeNews();
  }

  /** Hears an endpoint say that it leaves; returns whether peers are told at once. */
  boolean hearLeaving(String endpointId) {
    long now = nanoClock.getAsLong();
    EndpointStatements statements = new EndpointStatements(limits, departures, nanoClock);
    statements.heard(
        new EndpointIdentity(endpointId, 1),
        new EndpointStatement(LimitStatement.UNLIMITED, true, Duration.ZERO),
        now);
    return statements.takeNews();
  }

  /** Does what happens between two reads. */
  void awaitNextRead() {
    long now = nanoClock.getAsLong();
    if (directory.removeKept(now)) {
      pool.update(directory.entries(), now);
    }
  }

  void failRead() {
    directory.markUnavailable();
  }

  /** Returns the time until the next read after a successful one. */
  long graceRemainingMs() {
    return directory.graceRemainingMs(nanoClock.getAsLong());
  }

  void tell(FleetPeer other) {
    other.exchange.heartbeatReceived(id, exchange.heartbeat());
  }

  Set<String> endpointsInUse() {
    GenerationRequest generation = new GenerationRequest(Artifact.parse("m"), 100, 10, List.of());
    SelectionCriteria criteria =
        new SelectionCriteria(TestEntries.SERVICE, Optional.of(generation), Set.of());
    Set<String> chosen = new HashSet<>();
    for (int i = 0; i < CHOICES; i++) {
      if (pool.choose(criteria, LIMIT, nanoClock.getAsLong())
          instanceof EndpointChoice.Selected selected) {
        EndpointIdentity endpoint = selected.endpoint().identity();
        chosen.add(endpoint.id());
        pool.attemptEnded(endpoint, AttemptOutcome.INCONCLUSIVE, nanoClock.getAsLong());
      }
    }
    return chosen;
  }
}
