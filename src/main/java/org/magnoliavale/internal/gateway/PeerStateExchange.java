package org.magnoliavale.internal.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.magnoliavale.internal.call.ArtifactDemand;
import org.magnoliavale.internal.containment.CrashRegistry;
import org.magnoliavale.internal.directory.EndpointDepartures;
import org.magnoliavale.internal.directory.EndpointDepartures.Departure;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.dispatch.EndpointPool;
import org.magnoliavale.internal.document.DocumentText;
import org.magnoliavale.internal.limit.EndpointLimits;
import org.magnoliavale.internal.link.CrashRecords;
import org.magnoliavale.internal.link.Membership;
import org.magnoliavale.internal.link.PeerListener;
import org.magnoliavale.internal.link.PeerState;
import org.magnoliavale.internal.link.protocol.CrashRecord;
import org.magnoliavale.internal.link.protocol.DepartedEndpoint;
import org.magnoliavale.internal.link.protocol.Heartbeat;
import org.magnoliavale.internal.residency.ArtifactUse;
import org.magnoliavale.internal.residency.FleetDemand;
import org.magnoliavale.internal.residency.ResidencyChangeLog;

/**
 * Builds the heartbeats that this instance sends to its peers and applies those that it receives:
 * artifact demand, residency changes, crash records, draining and departed endpoints, limits and
 * loads of endpoints and the state of the command lease.
 *
 * <p>Called on link threads and on the instance's own threads; must not block. {@link #initialize}
 * must be called before the links start.
 */
final class PeerStateExchange implements PeerState, PeerListener {
  private static final DocumentText NO_DOCUMENT = new DocumentText(0, List.of());

  /** Time without a heartbeat from the lease holder after which the lease row is read again. */
  private static final long LEASE_HOLDER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_100);

  /** Longest time without a failed read that a peer is believed. */
  private static final long MAXIMUM_READ_TIME_MS = TimeUnit.DAYS.toMillis(1);

  /** Most requests a second, and most waiting requests, that a peer may state for an artifact. */
  private static final double MAXIMUM_RATE = 1_000_000;

  private static final int MAXIMUM_WAITING = 1_000_000;

  private final String localInstanceId;
  private final Membership membership;
  private final CrashRegistry crashes;
  private final ArtifactDemand localDemand;
  private final FleetDemand fleetDemand;
  private final EndpointPool endpoints;
  private final EndpointDepartures departures;
  private final LimitExchange limits;
  private final List<HeartbeatPart> parts = new CopyOnWriteArrayList<>();
  private final LoadExchange loads;
  private final LongSupplier nanoClock;
  private ResidencyChangeLog changeLog = new ResidencyChangeLog();
  private Runnable residencyChanged = () -> {};
  private Runnable demandChanged = () -> {};
  private long lastChangeNumber;
  private volatile boolean leaving;
  private volatile long lastHolderHeartbeatNanos = Long.MIN_VALUE;
  private volatile String leaseHolder = "";
  private CommandLeaseManager lease;

  PeerStateExchange(
      String localInstanceId,
      Membership membership,
      CrashRegistry crashes,
      ArtifactDemand localDemand,
      FleetDemand fleetDemand,
      EndpointPool endpoints,
      EndpointDepartures departures,
      EndpointLimits limits,
      LongSupplier nanoClock) {
    this.localInstanceId = localInstanceId;
    this.membership = membership;
    this.crashes = crashes;
    this.localDemand = localDemand;
    this.fleetDemand = fleetDemand;
    this.endpoints = endpoints;
    this.departures = departures;
    this.limits = new LimitExchange(limits);
    this.loads = new LoadExchange(endpoints);
    this.nanoClock = nanoClock;
  }

  /** Sets the heartbeat sources and the change listeners; must be called before the links start. */
  void initialize(
      CommandLeaseManager leaseManager,
      ResidencyChangeLog residencyChangeLog,
      Runnable onResidencyChanged,
      Runnable onDemandChanged) {
    lease = leaseManager;
    changeLog = residencyChangeLog;
    residencyChanged = onResidencyChanged;
    demandChanged = onDemandChanged;
  }

  /** Adds a further part to heartbeats; must be called before the links start. */
  void add(HeartbeatPart part) {
    parts.add(part);
  }

  /** Returns whether a heartbeat from the lease holder has arrived recently. */
  boolean isLeaseHolderAlive() {
    long lastHeartbeat = lastHolderHeartbeatNanos;
    return lastHeartbeat != Long.MIN_VALUE
        && nanoClock.getAsLong() - lastHeartbeat < LEASE_HOLDER_TIMEOUT_NANOS;
  }

  void setLeaving() {
    leaving = true;
  }

  /** Returns whether peers are to be told loads of endpoints before the next heartbeat. */
  boolean hasLoadNews() {
    long now = nanoClock.getAsLong();
    return loads.isDue(membership.instanceCount(now), now);
  }

  /** Applies this instance's own demand and residency changes, as if a peer had sent them. */
  void applyLocalState() {
    fleetDemand.update(localInstanceId, localUsage(), nanoClock.getAsLong());
    applyResidencyChanges(changeLog.changes(nanoClock.getAsLong()));
  }

  private Map<Artifact, ArtifactUse> localUsage() {
    Map<Artifact, ArtifactUse> uses = new HashMap<>();
    localDemand
        .rates(nanoClock.getAsLong())
        .forEach(
            (artifact, rate) ->
                uses.put(
                    artifact, new ArtifactUse(rate, 0, localDemand.isDelayTolerant(artifact))));
    localDemand
        .waiting()
        .forEach(
            (artifact, count) ->
                uses.merge(
                    artifact,
                    new ArtifactUse(0, count, localDemand.isDelayTolerant(artifact)),
                    ArtifactUse::plus));
    return uses;
  }

  @Override
  public Heartbeat heartbeat() {
    return heartbeat(false);
  }

  @Override
  public Heartbeat heartbeat(boolean relays) {
    Heartbeat.Builder heartbeat = Heartbeat.newBuilder().setLeaving(leaving);
    if (lease.isHeld()) {
      heartbeat.setGivesOrders(true);
      heartbeat.setLeaseRow(lease.leaseRowVersion());
      // For instances of earlier builds, which know no departed endpoints.
      heartbeat.addAllDrainingEndpoints(endpoints.draining());
    }
    heartbeat.setSurrenderedEpoch(lease.surrenderedEpoch());
    heartbeat.setDirectoryReadMs(departures.continuity().continuousMs(nanoClock.getAsLong()));
    for (Departure departure : departures.announcements(nanoClock.getAsLong())) {
      heartbeat
          .addDepartedEndpointsBuilder()
          .setEndpoint(departure.endpoint().toString())
          .setHeartbeat(departure.lastHeartbeat());
    }
    limits.addTo(heartbeat, nanoClock.getAsLong());
    parts.forEach(part -> part.addTo(heartbeat, nanoClock.getAsLong()));
    loads.addTo(heartbeat, relays, nanoClock.getAsLong());
    localUsage()
        .forEach(
            (artifact, use) ->
                heartbeat
                    .addUsesBuilder()
                    .setArtifact(artifact.toString())
                    .setRequestsPerSecond((float) use.perSecond())
                    .setWaiting(use.waiting())
                    .setPatient(use.delayTolerant()));
    for (ResidencyChangeLog.Change change : changeLog.changes(nanoClock.getAsLong())) {
      heartbeat
          .addChangesBuilder()
          .setNumber(change.number())
          .setEndpoint(change.endpointId())
          .setArtifact(change.artifact().toString())
          .setHeld(change.held());
    }
    crashes.localCounts().forEach(count -> heartbeat.addCrashes(CrashRecords.of(count)));
    return heartbeat.build();
  }

  @Override
  public DocumentText document() {
    return NO_DOCUMENT;
  }

  @Override
  public void heartbeatReceived(String instance, Heartbeat heartbeat) {
    long now = nanoClock.getAsLong();
    if (membership.recordHeartbeat(instance, heartbeat, now)) {
      lease.scheduleCheck();
    }
    lease.applyPeerState(heartbeat.getLeaseRow(), heartbeat.getSurrenderedEpoch());
    recordLeaseHolder(instance, heartbeat, now);
    applyDepartures(heartbeat, now);
    limits.apply(instance, heartbeat, now);
    parts.forEach(part -> part.apply(instance, heartbeat, now));
    loads.apply(heartbeat, now);
    Map<Artifact, ArtifactUse> uses = new HashMap<>();
    boolean hasWaiting = false;
    for (var use : heartbeat.getUsesList()) {
      uses.put(
          Artifact.parse(use.getArtifact()),
          new ArtifactUse(
              boundedRate(use.getRequestsPerSecond()),
              Math.clamp(use.getWaiting(), 0, MAXIMUM_WAITING),
              use.getPatient()));
      hasWaiting |= use.getWaiting() > 0;
    }
    fleetDemand.update(instance, uses, now);
    if (hasWaiting) {
      demandChanged.run();
    }
    for (CrashRecord record : heartbeat.getCrashesList()) {
      crashes.merge(instance, CrashRecords.toCount(instance, record));
    }
    List<ResidencyChangeLog.Change> changes =
        heartbeat.getChangesList().stream()
            .map(
                change ->
                    new ResidencyChangeLog.Change(
                        change.getNumber(),
                        change.getEndpoint(),
                        Artifact.parse(change.getArtifact()),
                        change.getHeld()))
            .toList();
    if (applyResidencyChanges(changes)) {
      residencyChanged.run();
    }
  }

  private static double boundedRate(double perSecond) {
    return Double.isNaN(perSecond) ? 0 : Math.clamp(perSecond, 0, MAXIMUM_RATE);
  }

  private void applyDepartures(Heartbeat heartbeat, long now) {
    long readMs = Math.clamp(heartbeat.getDirectoryReadMs(), 0, MAXIMUM_READ_TIME_MS);
    departures.continuity().learn(readMs, now);
    for (String draining : heartbeat.getDrainingEndpointsList()) {
      departures.learn(
          new Departure(EndpointIdentity.parse(draining), EndpointDepartures.DRAINING), now);
    }
    for (DepartedEndpoint departed : heartbeat.getDepartedEndpointsList()) {
      EndpointIdentity endpoint = EndpointIdentity.parse(departed.getEndpoint());
      departures.learn(new Departure(endpoint, departed.getHeartbeat()), now);
    }
  }

  /** Records the lease holder; one that leaves or no longer holds the lease counts as not alive. */
  private void recordLeaseHolder(String instance, Heartbeat heartbeat, long now) {
    if (heartbeat.getGivesOrders() && !heartbeat.getLeaving()) {
      leaseHolder = instance;
      lastHolderHeartbeatNanos = now;
    } else if (instance.equals(leaseHolder)) {
      lastHolderHeartbeatNanos = Long.MIN_VALUE;
    }
  }

  /**
   * Applies the changes with a new number; every change is sent in several heartbeats. Returns
   * whether any change was applied.
   */
  private synchronized boolean applyResidencyChanges(List<ResidencyChangeLog.Change> changes) {
    boolean applied = false;
    for (ResidencyChangeLog.Change change : changes) {
      if (change.number() <= lastChangeNumber) {
        continue;
      }
      lastChangeNumber = change.number();
      applied = true;
      if (change.held()) {
        endpoints.recordLoaded(change.endpointId(), change.artifact());
      } else {
        endpoints.recordUnloading(change.endpointId(), change.artifact(), nanoClock.getAsLong());
      }
    }
    return applied;
  }

  @Override
  public void documentReceived(DocumentText document) {
    // On a platform the operator's document is in the platform's store, not held by the instances.
  }
}
