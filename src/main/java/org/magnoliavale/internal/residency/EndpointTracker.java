package org.magnoliavale.internal.residency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.route.EngineSpecification;

/**
 * The lease holder's state for one incarnation of an endpoint beyond its directory entry: pending
 * commands, the last report, and the model that room is being made for. Not thread-safe.
 *
 * <p>Each command names the sequence number that it expects. So at most one copy of a command takes
 * effect, and none once another command was accepted. Memory is reserved for each pending command
 * until the entry shows its effect or it can no longer take effect.
 */
final class EndpointTracker {
  /** Time after which an accepted adapter load is considered complete. */
  static final long ADAPTER_LOAD_MS = 25;

  /** Time after which a command without a response can no longer take effect. */
  private static final long MAXIMUM_COMMAND_DELAY_MS = 13_000;

  /** Time after which a command without a response is sent again with the same sequence. */
  private static final long RESEND_DELAY_MS = 400;

  /** Maximum time by which a report lags behind the endpoint's state. */
  private static final long REPORT_LAG_MS = 500;

  private static final long REPORT_INTERVAL_MS = 250;

  /** Time after which making room for a model is abandoned. */
  private static final long PENDING_MODEL_TIMEOUT_MS = 15_000;

  /**
   * Maximum age of what an entry shows when it is read. An endpoint rewrites its entry within a
   * heartbeat interval of a change; after three intervals of silence the entry is removed.
   */
  private static final long MAXIMUM_ENTRY_AGE_MS = 5_000;

  /** Time for which an unreachable endpoint counts as unavailable and gets no commands. */
  private static final long UNREACHABLE_MS = 1_500;

  /** Time after its load in which a model is not evicted, so that it serves waiting requests. */
  private static final long MINIMUM_RESIDENCY_MS = 5_000;

  private final Map<Artifact, Long> modelLoadedNanos = new HashMap<>();
  private final List<PendingCommand> pending = new ArrayList<>();
  private DirectoryEntry entry;
  private long entryChangedNanos;
  private OptionalLong sequence = OptionalLong.empty();
  private long acceptedNanos;
  private final List<Artifact> newlyLoaded = new ArrayList<>();
  private Optional<Artifact> pendingModel = Optional.empty();
  private long pendingModelSinceNanos;
  private boolean unreachable;
  private long unreachableNanos;
  private boolean replaced;

  private final Set<Artifact> reportedArtifacts = new HashSet<>();
  private long reportedNanos;
  private boolean reportNeeded;
  private long reportRequestedNanos;

  private EndpointTracker(DirectoryEntry entry, long nowNanos, long reportRequestedNanos) {
    this.entry = entry;
    this.entryChangedNanos = nowNanos;
    this.reportRequestedNanos = reportRequestedNanos;
    this.reportNeeded = true;
  }

  /**
   * Returns the state of an endpoint that has just appeared, to which no previous holder sent a
   * command.
   */
  static EndpointTracker ofNewEndpoint(DirectoryEntry entry, long nowNanos) {
    return new EndpointTracker(
        entry, nowNanos, nowNanos - TimeUnit.MILLISECONDS.toNanos(REPORT_INTERVAL_MS));
  }

  /** Returns the state of an endpoint to which a previous holder may just have sent a command. */
  static EndpointTracker ofKnownEndpoint(DirectoryEntry entry, long nowNanos) {
    EndpointTracker tracker = new EndpointTracker(entry, nowNanos, nowNanos);
    tracker.requireReport(nowNanos);
    return tracker;
  }

  /**
   * Returns whether a report is due to be fetched. The endpoint gets no commands until it has
   * reported that it is not busy, because it may be executing a previous holder's command.
   */
  boolean isReportDue(long nowNanos) {
    return reportNeeded && age(reportRequestedNanos, nowNanos) >= REPORT_INTERVAL_MS;
  }

  /** Records that a report is being fetched. */
  void markReportRequested(long nowNanos) {
    reportRequestedNanos = nowNanos;
  }

  /**
   * Requires a report before the next command. It is fetched late enough to show what the endpoint
   * is doing now.
   */
  void requireReport(long nowNanos) {
    reportNeeded = true;
    reportRequestedNanos =
        nowNanos + TimeUnit.MILLISECONDS.toNanos(REPORT_LAG_MS - REPORT_INTERVAL_MS);
  }

  /** Returns the models whose loads the directory has shown to be complete since the last call. */
  List<Artifact> takeNewlyLoaded() {
    List<Artifact> taken = List.copyOf(newlyLoaded);
    newlyLoaded.clear();
    return taken;
  }

  /** Applies a newer directory entry and removes pending commands whose effect it shows. */
  void update(DirectoryEntry newEntry, long nowNanos) {
    if (newEntry.heartbeat() != entry.heartbeat()) {
      entryChangedNanos = nowNanos;
    }
    entry = newEntry;
    Set<Artifact> held = EndpointView.artifactsOf(newEntry.models());
    pending.removeIf(
        command -> {
          boolean visible = held.contains(command.artifact()) == command.isLoad();
          boolean done = command.confirmed() && visible && isWrittenAfter(command);
          if (done && command.isModel() && command.isLoad()) {
            modelLoadedNanos.put(command.artifact(), nowNanos);
            newlyLoaded.add(command.artifact());
          }
          return done || age(command.lastSentNanos(), nowNanos) > MAXIMUM_COMMAND_DELAY_MS;
        });
    if (isEntryWrittenAfter(reportedNanos)) {
      reportedArtifacts.clear();
    }
    if (pendingModel.isPresent()
        && age(pendingModelSinceNanos, nowNanos) > PENDING_MODEL_TIMEOUT_MS) {
      pendingModel = Optional.empty();
    }
  }

  /**
   * Returns whether the entry was certainly written after the command was accepted. Needed for
   * adapters only, which can be loaded and unloaded between two heartbeats.
   */
  private boolean isWrittenAfter(PendingCommand command) {
    return command.isModel() || isEntryWrittenAfter(command.confirmedNanos());
  }

  /**
   * Returns whether the entry was certainly written after {@code nanos}. Its heartbeat can't tell:
   * the directory keeps the number of the last change, so the next one may be any number higher.
   */
  private boolean isEntryWrittenAfter(long nanos) {
    return age(nanos, entryChangedNanos) >= MAXIMUM_ENTRY_AGE_MS;
  }

  void addPending(EndpointCommand command, long nowNanos) {
    pending.add(new PendingCommand(command, nowNanos, false, 0, 0));
  }

  /** Records that the endpoint accepted a command; older ones can no longer take effect. */
  void markAccepted(EndpointCommand command, long nowNanos) {
    sequence = OptionalLong.of(Math.max(sequence.orElse(0), command.expectedSequence() + 1));
    acceptedNanos = nowNanos;
    pending.removeIf(
        known ->
            !known.confirmed()
                && !known.command().equals(command)
                && known.command().expectedSequence() <= command.expectedSequence());
    if (command.operation() == EndpointCommand.Operation.UNLOAD) {
      removeUnloaded(command.artifact());
    }
    // This command supersedes earlier ones for the same artifact.
    pending.removeIf(
        known ->
            known.artifact().equals(command.artifact())
                && known.command().expectedSequence() < command.expectedSequence());
    confirm(command, nowNanos);
  }

  private void confirm(EndpointCommand command, long nowNanos) {
    pending.replaceAll(known -> known.command().equals(command) ? known.confirm(nowNanos) : known);
  }

  /** Removes an artifact and its adapters from what reports and loads have shown. */
  private void removeUnloaded(Artifact unloaded) {
    reportedArtifacts.removeIf(artifact -> isUnloadedWith(unloaded, artifact));
    pending.removeIf(
        known -> known.confirmed() && known.isLoad() && isUnloadedWith(unloaded, known.artifact()));
  }

  private static boolean isUnloadedWith(Artifact unloaded, Artifact artifact) {
    return artifact.equals(unloaded) || artifact.baseModel().equals(unloaded);
  }

  void markResent(EndpointCommand command, long nowNanos) {
    pending.replaceAll(known -> known.command().equals(command) ? known.resend(nowNanos) : known);
  }

  boolean wasResent(EndpointCommand command) {
    return pending.stream()
        .anyMatch(known -> known.command().equals(command) && known.resends() > 0);
  }

  void removePending(EndpointCommand command) {
    pending.removeIf(known -> known.command().equals(command));
  }

  /**
   * Records that the endpoint is busy or has accepted another command. If this one was sent more
   * than once, an earlier copy may be the accepted one, so it stays pending until it can no longer
   * take effect.
   */
  void markConflict(EndpointCommand command, long nowNanos) {
    if (!wasResent(command)) {
      removePending(command);
    }
    requireReport(nowNanos);
  }

  /**
   * Records that a command's effect already holds. An adapter is unloaded immediately, which
   * advances the endpoint's sequence like an accepted command. A command for a model stays pending
   * until the entry shows its effect, else it would be planned again from the old entry.
   */
  void markDone(EndpointCommand command, long nowNanos) {
    boolean model = command.artifact().adapter().isEmpty();
    boolean unload = command.operation() == EndpointCommand.Operation.UNLOAD;
    if (model) {
      if (unload) {
        removeUnloaded(command.artifact());
      }
      confirm(command, nowNanos);
    } else if (unload) {
      markAccepted(command, nowNanos);
    } else {
      removePending(command);
    }
  }

  /** Records that no connection to the endpoint could be made. */
  void markUnreachable(long nowNanos) {
    unreachable = true;
    unreachableNanos = nowNanos;
  }

  /** Records that another incarnation answers at the address. */
  void markReplaced() {
    replaced = true;
  }

  private boolean isUnavailable(long nowNanos) {
    return replaced || unreachable && age(unreachableNanos, nowNanos) < UNREACHABLE_MS;
  }

  /** Applies a report. Its contents count until the entry was certainly written after it. */
  void applyReport(EndpointReport report, long nowNanos) {
    boolean includesLastCommand = age(acceptedNanos, nowNanos) > REPORT_LAG_MS;
    if (sequence.isEmpty() || includesLastCommand || report.sequence() > sequence.getAsLong()) {
      sequence = OptionalLong.of(report.sequence());
    }
    reportedArtifacts.clear();
    reportedArtifacts.addAll(EndpointView.artifactsOf(report.models()));
    report.loading().forEach(adapter -> reportedArtifacts.add(Artifact.parse(adapter)));
    reportedArtifacts.removeIf(this::isUnloading);
    reportedNanos = nowNanos;
    reportNeeded = report.busy();
    // No one else sends commands, so a sequence beyond a command's shows that it was accepted.
    for (PendingCommand known : List.copyOf(pending)) {
      if (!known.confirmed() && report.sequence() > known.command().expectedSequence()) {
        markAccepted(known.command(), nowNanos);
      }
    }
  }

  private boolean isUnloading(Artifact artifact) {
    return pending.stream()
        .filter(known -> known.confirmed() && !known.isLoad())
        .anyMatch(known -> isUnloadedWith(known.artifact(), artifact));
  }

  /** Sets the model that room is being made for. */
  void setPendingModel(Artifact model, long nowNanos) {
    pendingModel = Optional.of(model);
    pendingModelSinceNanos = nowNanos;
  }

  void clearPendingModel() {
    pendingModel = Optional.empty();
  }

  /** Returns commands without a response that are due to be sent again. */
  List<EndpointCommand> unanswered(long nowNanos) {
    List<EndpointCommand> unanswered = new ArrayList<>();
    for (PendingCommand known : pending) {
      if (!known.confirmed() && age(known.lastSentNanos(), nowNanos) > RESEND_DELAY_MS) {
        unanswered.add(known.command());
      }
    }
    return unanswered;
  }

  private Set<Artifact> recentlyLoaded(long nowNanos) {
    modelLoadedNanos.values().removeIf(nanos -> age(nanos, nowNanos) > MINIMUM_RESIDENCY_MS);
    return Set.copyOf(modelLoadedNanos.keySet());
  }

  EndpointView view(EngineSpecification engine, double saturation, long nowNanos) {
    Set<Artifact> artifacts = new HashSet<>(EndpointView.artifactsOf(entry.models()));
    artifacts.addAll(reportedArtifacts);
    Set<Artifact> loading = new HashSet<>();
    Set<Artifact> unloading = new HashSet<>();
    boolean busy = reportNeeded;
    for (PendingCommand command : pending) {
      boolean complete =
          command.confirmed()
              && !command.isModel()
              && age(command.lastSentNanos(), nowNanos) > ADAPTER_LOAD_MS;
      busy |= command.isModel() || !command.confirmed();
      if (command.isLoad()) {
        artifacts.add(command.artifact());
        if (!complete) {
          loading.add(command.artifact());
        }
      } else if (complete) {
        artifacts.remove(command.artifact());
      } else {
        unloading.add(command.artifact());
      }
    }
    return new EndpointView(
        entry,
        engine,
        artifacts,
        loading,
        unloading,
        sequence.orElse(0),
        busy,
        pendingModel,
        isUnavailable(nowNanos),
        recentlyLoaded(nowNanos),
        saturation);
  }

  private static long age(long sinceNanos, long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - sinceNanos);
  }
}
