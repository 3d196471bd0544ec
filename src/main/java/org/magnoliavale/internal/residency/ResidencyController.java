package org.magnoliavale.internal.residency;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.route.EngineSpecification;
import org.magnoliavale.internal.route.RouteTable;
import org.magnoliavale.internal.route.ServiceSpecification;

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

  /** Bits by which the fencing token is shifted in change numbers, so that they always grow. */
  private static final int FENCE_SHIFT = 32;

  /** Fencing token of the first holder, which has no predecessor. */
  private static final long FIRST_FENCE = 1;

  private final OrderLease lease;
  private final EndpointControl control;
  private final FleetDemand demand;
  private final Supplier<RouteTable> routes;
  private final String self;
  private final Executor executor;
  private final LongSupplier nanoClock;
  private final ResidencyLog log = new ResidencyLog();
  private final Runnable changed;
  private final EndpointHealth health;
  private final LoadCeiling ceiling;
  private final Map<EndpointIdentity, EndpointLedger> ledgers = new HashMap<>();
  private final Map<EndpointIdentity, DirectoryEntry> entries = new HashMap<>();
  private final Set<EndpointIdentity> sending = new HashSet<>();
  private long knownFence;
  private long changeCount;

  private ResidencyController(Builder builder) {
    lease = builder.lease;
    control = builder.control;
    demand = builder.demand;
    routes = builder.routes;
    self = builder.self;
    executor = builder.executor;
    nanoClock = builder.nanoClock;
    changed = builder.changed;
    health = builder.health;
    ceiling = new LoadCeiling(builder.ceilingWindowSeconds);
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder of a {@link ResidencyController}. */
  public static final class Builder {
    private OrderLease lease;
    private EndpointControl control;
    private FleetDemand demand;
    private Supplier<RouteTable> routes;
    private String self;
    private Executor executor;
    private LongSupplier nanoClock;
    private Runnable changed = () -> {};
    private EndpointHealth health;
    private long ceilingWindowSeconds = 5;

    private Builder() {}

    /** Sets the lease that must be held to send commands. */
    public Builder lease(OrderLease value) {
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
    public Builder self(String value) {
      self = value;
      return this;
    }

    /** Sets the executor for blocking calls to endpoints. */
    public Builder executor(Executor value) {
      executor = value;
      return this;
    }

    /** Sets the monotonic clock. */
    public Builder nanoClock(LongSupplier value) {
      nanoClock = value;
      return this;
    }

    /** Sets the callback that runs after a command, when there may be changes to publish. */
    public Builder changed(Runnable value) {
      changed = value;
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
  public ResidencyLog log() {
    return log;
  }

  /** Returns whether any engine has a command or a report pending. */
  public synchronized boolean isAwaiting() {
    long now = nanoClock.getAsLong();
    return engines().entrySet().stream()
        .anyMatch(entry -> ledgers.get(entry.getKey()).view(entry.getValue(), 0, now).busy());
  }

  /** Applies a read of the endpoint directory. */
  public synchronized void update(Collection<DirectoryEntry> listed) {
    long now = nanoClock.getAsLong();
    entries.clear();
    for (DirectoryEntry entry : listed) {
      entries.put(entry.identity(), entry);
      ledgers
          .computeIfAbsent(entry.identity(), ignored -> EndpointLedger.ofNewEndpoint(entry, now))
          .update(entry, now);
    }
    ledgers.keySet().retainAll(entries.keySet());
  }

  /** Fetches due reports, repeats unanswered commands, and sends the commands now planned. */
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
    if (lease.fence() != knownFence) {
      takeOver(loadsPerSecond, now);
    }
    for (EndpointIdentity identity : engines.keySet()) {
      if (health.isUnreachable(identity)) {
        ledgers.get(identity).unreachable(now);
      }
    }
    askForReports(now);
    sendAgain(now);
    List<EndpointView> views = new ArrayList<>();
    engines.forEach(
        (identity, engine) ->
            views.add(ledgers.get(identity).view(engine, health.crowding(identity), now)));
    boolean allowed = ceiling.allows(loadsPerSecond, now);
    for (ResidencyPlanner.Step step :
        ResidencyPlanner.plan(
            views, demand.total(now), demand.patientModels(), demand.phase(now), allowed)) {
      take(step, loadsPerSecond, now);
    }
  }

  private void takeOver(double loadsPerSecond, long now) {
    knownFence = lease.fence();
    changeCount = 0;
    if (knownFence > FIRST_FENCE) {
      ceiling.takeOver(loadsPerSecond, now);
    }
    ledgers.clear();
    entries.forEach(
        (identity, entry) -> ledgers.put(identity, EndpointLedger.ofKnownEndpoint(entry, now)));
    LOG.infof("Started sending commands. fence=%d endpoints=%d", knownFence, entries.size());
  }

  private Map<EndpointIdentity, EngineSpecification> engines() {
    Map<EndpointIdentity, EngineSpecification> engines = new HashMap<>();
    RouteTable table = routes.get();
    if (table == null) {
      return engines;
    }
    for (DirectoryEntry entry : entries.values()) {
      table
          .service(entry.service())
          .flatMap(ServiceSpecification::engine)
          .ifPresent(engine -> engines.put(entry.identity(), engine));
    }
    return engines;
  }

  private void askForReports(long now) {
    for (EndpointIdentity identity : engines().keySet()) {
      DirectoryEntry entry = entries.get(identity);
      EndpointLedger ledger = ledgers.get(entry.identity());
      if (ledger.isReportDue(now) && sending.add(entry.identity())) {
        ledger.asked(now);
        executor.execute(() -> askForReport(entry, ledger));
      }
    }
  }

  private void askForReport(DirectoryEntry entry, EndpointLedger ledger) {
    Optional<EndpointReport> report = control.report(entry);
    synchronized (this) {
      sending.remove(entry.identity());
      report.ifPresent(told -> ledger.reported(told, nanoClock.getAsLong()));
    }
  }

  private void sendAgain(long now) {
    for (DirectoryEntry entry : entries.values()) {
      EndpointLedger ledger = ledgers.get(entry.identity());
      for (EndpointOrder order : ledger.unanswered(now)) {
        if (sending.add(entry.identity())) {
          ledger.sentAgain(order, now);
          executor.execute(() -> send(entry, order));
        }
      }
    }
  }

  private void take(ResidencyPlanner.Step step, double loadsPerSecond, long now) {
    EndpointView view = step.view();
    EndpointIdentity identity = view.entry().identity();
    if (!sending.add(identity)) {
      return;
    }
    boolean load = step.operation() == EndpointOrder.Operation.LOAD;
    boolean model = step.artifact().adapter().isEmpty();
    boolean fromStore =
        load
            && model
            && !view.entry().inMemory().contains(step.artifact().model())
            && !view.entry().onDisk().contains(step.artifact().model());
    if (fromStore) {
      if (!ceiling.allows(loadsPerSecond, now)) {
        sending.remove(identity);
        return;
      }
      ceiling.begin(now);
    }
    EndpointOrder order =
        new EndpointOrder(
            identity, step.operation(), step.artifact(), view.sequence(), self, knownFence);
    EndpointLedger ledger = ledgers.get(identity);
    ledger.opened(order, now);
    step.goal().ifPresentOrElse(goal -> ledger.setGoal(goal, now), () -> clearGoal(ledger, step));
    if (!load) {
      tell(identity.id(), step.artifact(), false, now);
    }
    LOG.infof(
        "Sending command. endpoint=%s operation=%s artifact=%s sequence=%d fence=%d used-mb=%.0f"
            + " from-store=%s why=%s",
        identity,
        step.operation(),
        step.artifact(),
        order.expectedSequence(),
        knownFence,
        view.usedMb(),
        fromStore,
        step.reason());
    executor.execute(() -> send(view.entry(), order));
  }

  private static void clearGoal(EndpointLedger ledger, ResidencyPlanner.Step step) {
    if (step.artifact().adapter().isEmpty()) {
      ledger.clearGoal();
    }
  }

  private void send(DirectoryEntry entry, EndpointOrder order) {
    // The lease is checked last, after everything that can block.
    if (!lease.isHeld() || lease.fence() != order.fence()) {
      settle(entry, order, EndpointOrderAnswer.WITHHELD);
      return;
    }
    EndpointOrderAnswer answer = control.order(entry, order);
    settle(entry, order, answer);
    boolean adapterLoad =
        order.operation() == EndpointOrder.Operation.LOAD && order.artifact().adapter().isPresent();
    if (answer == EndpointOrderAnswer.ACCEPTED && adapterLoad) {
      announceLoaded(entry, order);
    }
    changed.run();
  }

  private void settle(DirectoryEntry entry, EndpointOrder order, EndpointOrderAnswer answer) {
    synchronized (this) {
      sending.remove(entry.identity());
      LOG.infof(
          "Command result. endpoint=%s operation=%s artifact=%s answer=%s",
          entry.identity(), order.operation(), order.artifact(), answer);
      EndpointLedger ledger = ledgers.get(entry.identity());
      if (ledger == null) {
        return;
      }
      long now = nanoClock.getAsLong();
      switch (answer) {
        case ACCEPTED -> ledger.accepted(order, now);
        case DONE -> ledger.done(order, now);
        case CONFLICT -> ledger.conflict(order, now);
        case FENCED, INVALID, WITHHELD -> ledger.closed(order);
        case OTHER_INCARNATION -> {
          ledger.closed(order);
          ledger.replaced();
        }
        case NOT_SENT -> {
          ledger.closed(order);
          ledger.unreachable(now);
        }
        case UNKNOWN -> {}
      }
    }
  }

  /** Publishes an adapter once it is loaded; until then requests for it would be rejected. */
  private void announceLoaded(DirectoryEntry entry, EndpointOrder order) {
    try {
      TimeUnit.MILLISECONDS.sleep(EndpointLedger.ADAPTER_LOAD_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return;
    }
    synchronized (this) {
      tell(entry.identity().id(), order.artifact(), true, nanoClock.getAsLong());
    }
  }

  private void tell(String endpointId, Artifact artifact, boolean held, long now) {
    changeCount++;
    long number = (knownFence << FENCE_SHIFT) + changeCount;
    log.add(new ResidencyLog.Change(number, endpointId, artifact, held), now);
  }
}
