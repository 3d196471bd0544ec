package org.magnoliavale.internal.residency;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.lease.Epochs;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.route.EngineSpecification;
import org.magnoliavale.internal.route.RouteTable;

/**
 * Plans and sends load and unload commands while this instance holds the lease.
 *
 * <p>Life cycle: {@link #update} applies each read of the endpoint directory, {@link #tick} plans
 * and starts the commands that are due. The first tick under a new fencing token discards all state
 * of an earlier holder, so every endpoint has to report before it gets a command.
 *
 * <p>Threads: all state is guarded by this object's lock. Commands are sent and reports fetched on
 * the executor without the lock, at most one at a time per endpoint. The lease is checked again
 * directly before each send.
 *
 * <p>Errors: a command without a response is sent again with the same sequence until its effect
 * shows or it can no longer take effect.
 */
public final class ResidencyController {
  private static final Logger LOG = Logs.of("residency");

  private final CommandLease lease;
  private final EndpointControl control;
  private final FleetDemand demand;
  private final Supplier<RouteTable> routes;
  private final String holder;
  private final DelayingExecutor executor;
  private final LongSupplier nanoClock;
  private final ResidencyChangeLog changeLog = new ResidencyChangeLog();
  private final Runnable onChange;
  private final EndpointHealth health;
  private final LoadRateLimit storeLoadLimit;
  private final Map<EndpointIdentity, EndpointTracker> trackers = new HashMap<>();
  private final Map<EndpointIdentity, DirectoryEntry> entries = new HashMap<>();
  private final PlanningPace pace = new PlanningPace();
  private final WaitingModelsLog waitingModelsLog = new WaitingModelsLog();
  private final Set<EndpointIdentity> endpointsInUse = new HashSet<>();

  /** Endpoints that have rejected the present fencing token. */
  private final Set<EndpointIdentity> fencedOff = new HashSet<>();

  private long fencingToken;

  private ResidencyController(Builder builder) {
    lease = builder.lease;
    control = builder.control;
    demand = builder.demand;
    routes = builder.routes;
    holder = builder.holder;
    executor = builder.executor;
    nanoClock = builder.nanoClock;
    onChange = builder.onChange;
    health = builder.health;
    storeLoadLimit = new LoadRateLimit(builder.ceilingWindowSeconds);
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder of a {@link ResidencyController}. */
  public static final class Builder {
    private CommandLease lease;
    private EndpointControl control;
    private FleetDemand demand;
    private Supplier<RouteTable> routes;
    private String holder;
    private DelayingExecutor executor;
    private LongSupplier nanoClock;
    private Runnable onChange = () -> {};
    private EndpointHealth health;
    private long ceilingWindowSeconds = 5;

    private Builder() {}

    /** Sets the lease that must be held to send commands. */
    public Builder lease(CommandLease value) {
      lease = value;
      return this;
    }

    /** Sets the client that sends commands and fetches reports. */
    public Builder control(EndpointControl value) {
      control = value;
      return this;
    }

    /** Sets the source of the fleet's demand. */
    public Builder demand(FleetDemand value) {
      demand = value;
      return this;
    }

    /** Sets the source of the current configuration, null while there is none. */
    public Builder routes(Supplier<RouteTable> value) {
      routes = value;
      return this;
    }

    /** Sets the name of this instance, which commands carry as their holder. */
    public Builder holder(String value) {
      holder = value;
      return this;
    }

    /** Sets the executor for blocking calls to endpoints. */
    public Builder executor(DelayingExecutor value) {
      executor = value;
      return this;
    }

    /** Sets the monotonic clock. */
    public Builder nanoClock(LongSupplier value) {
      nanoClock = value;
      return this;
    }

    /** Sets the callback that runs after a command, when there may be changes to publish. */
    public Builder onChange(Runnable value) {
      onChange = value;
      return this;
    }

    /** Sets the source of the endpoints' observed health. */
    public Builder health(EndpointHealth value) {
      health = value;
      return this;
    }

    /** Sets the window over which the weight store's load rate is limited, in seconds. */
    public Builder ceilingWindowSeconds(long value) {
      ceilingWindowSeconds = value;
      return this;
    }

    /** Returns the controller. */
    public ResidencyController build() {
      return new ResidencyController(this);
    }
  }

  /** Returns the changes to publish to all instances. */
  public ResidencyChangeLog changeLog() {
    return changeLog;
  }

  /** Returns whether any engine has a command or a report pending. */
  public synchronized boolean isAwaitingEndpoints() {
    long now = nanoClock.getAsLong();
    return engines().entrySet().stream()
        .anyMatch(entry -> trackers.get(entry.getKey()).view(entry.getValue(), 0, now).busy());
  }

  /**
   * Applies a read of the endpoint directory, and publishes the models whose loads it shows to be
   * complete; returns whether there are any.
   */
  public synchronized boolean update(Collection<DirectoryEntry> listed) {
    long now = nanoClock.getAsLong();
    boolean published = false;
    entries.clear();
    for (DirectoryEntry entry : listed) {
      entries.put(entry.identity(), entry);
      EndpointTracker tracker =
          trackers.computeIfAbsent(
              entry.identity(), ignored -> EndpointTracker.ofNewEndpoint(entry, now));
      tracker.update(entry, now);
      published |= changeLog.addLoaded(entry.identity().id(), tracker.takeNewlyLoaded(), now);
    }
    trackers.keySet().retainAll(entries.keySet());
    return published;
  }

  /** Fetches due reports, resends commands without a response, and plans and sends new ones. */
  public synchronized void tick() {
    RouteTable table = routes.get();
    if (table == null || !lease.isHeld()) {
      return;
    }
    long now = nanoClock.getAsLong();
    Map<EndpointIdentity, EngineSpecification> engines = engines();
    if (engines.isEmpty()) {
      return;
    }
    double loadsPerSecond =
        engines.values().stream().mapToDouble(EngineSpecification::loadsPerSecond).min().orElse(1);
    if (lease.fencingToken() != fencingToken) {
      takeOver(loadsPerSecond, now);
    }
    engines.keySet().stream()
        .filter(health::isUnreachable)
        .forEach(identity -> trackers.get(identity).markUnreachable(now));
    requestReports(engines.keySet(), now);
    resendUnanswered(now);
    if (pace.isDue(now)) {
      plan(engines, loadsPerSecond, now);
      pace.finished(now, nanoClock.getAsLong());
    }
  }

  private void plan(
      Map<EndpointIdentity, EngineSpecification> engines, double loadsPerSecond, long now) {
    List<EndpointView> views = new ArrayList<>();
    engines.forEach(
        (identity, engine) ->
            views.add(trackers.get(identity).view(engine, health.saturation(identity), now)));
    Map<Artifact, ArtifactUse> uses = demand.total(now);
    waitingModelsLog.log(views, uses, now);
    boolean allowed = storeLoadLimit.allows(loadsPerSecond, now);
    for (ResidencyPlanner.Step step :
        ResidencyPlanner.plan(
            views, uses, demand.delayTolerantModels(), demand.phase(now), allowed)) {
      execute(step, loadsPerSecond, now);
    }
  }

  private void takeOver(double loadsPerSecond, long now) {
    fencingToken = lease.fencingToken();
    changeLog.startNumbering(fencingToken);
    fencedOff.clear();
    // The first holder has no predecessor.
    if (!Epochs.isFirst(fencingToken)) {
      storeLoadLimit.reserveForPredecessor(loadsPerSecond, now);
    }
    trackers.clear();
    entries.forEach(
        (identity, entry) -> trackers.put(identity, EndpointTracker.ofKnownEndpoint(entry, now)));
    LOG.infof("Started sending commands. fence=%d endpoints=%d", fencingToken, entries.size());
  }

  private Map<EndpointIdentity, EngineSpecification> engines() {
    return Engines.of(routes.get(), entries.values());
  }

  private void requestReports(Set<EndpointIdentity> engines, long now) {
    for (EndpointIdentity identity : engines) {
      DirectoryEntry entry = entries.get(identity);
      EndpointTracker tracker = trackers.get(identity);
      if (tracker.isReportDue(now) && endpointsInUse.add(identity)) {
        tracker.markReportRequested(now);
        executor.execute(() -> fetchReport(entry, tracker));
      }
    }
  }

  private void fetchReport(DirectoryEntry entry, EndpointTracker tracker) {
    Optional<EndpointReport> report = control.fetchReport(entry);
    synchronized (this) {
      endpointsInUse.remove(entry.identity());
      report.ifPresent(value -> tracker.applyReport(value, nanoClock.getAsLong()));
    }
  }

  private void resendUnanswered(long now) {
    for (DirectoryEntry entry : entries.values()) {
      EndpointTracker tracker = trackers.get(entry.identity());
      for (EndpointCommand command : tracker.unanswered(now)) {
        if (endpointsInUse.add(entry.identity())) {
          tracker.markResent(command, now);
          executor.execute(() -> send(entry, command));
        }
      }
    }
  }

  private void execute(ResidencyPlanner.Step step, double loadsPerSecond, long now) {
    EndpointView view = step.view();
    EndpointIdentity identity = view.entry().identity();
    if (fencedOff.contains(identity) || !endpointsInUse.add(identity)) {
      return;
    }
    boolean load = step.operation() == EndpointCommand.Operation.LOAD;
    boolean fromStore = step.loadsFromStore();
    if (fromStore) {
      if (!storeLoadLimit.allows(loadsPerSecond, now)) {
        endpointsInUse.remove(identity);
        return;
      }
      storeLoadLimit.recordStart(now);
    }
    EndpointCommand command =
        new EndpointCommand(
            identity, step.operation(), step.artifact(), view.sequence(), holder, fencingToken);
    EndpointTracker tracker = trackers.get(identity);
    tracker.addPending(command, now);
    step.pendingModel()
        .ifPresentOrElse(
            pendingModel -> tracker.setPendingModel(pendingModel, now),
            () -> clearPendingModel(tracker, step));
    if (!load) {
      changeLog.add(identity.id(), step.artifact(), false, now);
    }
    LOG.infof(
        "Sending command. endpoint=%s operation=%s artifact=%s sequence=%d fence=%d used-mb=%.0f"
            + " from-store=%s why=%s",
        identity,
        step.operation(),
        step.artifact(),
        command.expectedSequence(),
        fencingToken,
        view.usedMb(),
        fromStore,
        step.reason());
    executor.execute(() -> send(view.entry(), command));
  }

  private static void clearPendingModel(EndpointTracker tracker, ResidencyPlanner.Step step) {
    if (step.artifact().adapter().isEmpty()) {
      tracker.clearPendingModel();
    }
  }

  private void send(DirectoryEntry entry, EndpointCommand command) {
    // The lease is checked last, after everything that can block.
    if (!lease.isHeld() || lease.fencingToken() != command.fencingToken()) {
      applyResult(entry, command, EndpointCommandResult.WITHHELD);
      return;
    }
    EndpointCommandResult result = control.send(entry, command);
    applyResult(entry, command, result);
    boolean adapterLoad =
        command.operation() == EndpointCommand.Operation.LOAD
            && command.artifact().adapter().isPresent();
    if (result == EndpointCommandResult.ACCEPTED && adapterLoad) {
      executor.executeLater(() -> publishLoaded(entry, command), EndpointTracker.ADAPTER_LOAD_MS);
    } else {
      onChange.run();
    }
  }

  private void applyResult(
      DirectoryEntry entry, EndpointCommand command, EndpointCommandResult result) {
    synchronized (this) {
      endpointsInUse.remove(entry.identity());
      LOG.infof(
          "Command result. endpoint=%s operation=%s artifact=%s answer=%s",
          entry.identity(), command.operation(), command.artifact(), result);
      EndpointTracker tracker = trackers.get(entry.identity());
      if (tracker == null) {
        return;
      }
      long now = nanoClock.getAsLong();
      switch (result) {
        case ACCEPTED -> tracker.markAccepted(command, now);
        case DONE -> tracker.markDone(command, now);
        case CONFLICT -> tracker.markConflict(command, now);
        case FENCED -> {
          tracker.removePending(command);
          handleFenced(command);
        }
        case INVALID, WITHHELD -> tracker.removePending(command);
        case OTHER_INCARNATION -> {
          tracker.removePending(command);
          tracker.markReplaced();
        }
        case NOT_SENT -> {
          tracker.removePending(command);
          tracker.markUnreachable(now);
        }
        case UNKNOWN -> {}
      }
    }
  }

  /** Sends an endpoint nothing more under a token that it rejects; the lease needs a higher one. */
  private void handleFenced(EndpointCommand command) {
    if (command.fencingToken() == fencingToken && fencedOff.add(command.endpoint())) {
      LOG.infof("Fenced off. endpoint=%s fence=%d", command.endpoint(), fencingToken);
      lease.fencedOff(fencingToken);
    }
  }

  /** Publishes an adapter once it is loaded; until then requests for it would be rejected. */
  private void publishLoaded(DirectoryEntry entry, EndpointCommand command) {
    synchronized (this) {
      changeLog.add(entry.identity().id(), command.artifact(), true, nanoClock.getAsLong());
    }
    onChange.run();
  }
}
