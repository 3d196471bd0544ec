package org.magnoliavale.internal.call;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.metrics.UnexpectedFailures;

/**
 * Starts calls and tracks those in progress. Thread-safe.
 *
 * <p>A call stays registered from {@link #begin} until it has been answered, aborted or abandoned
 * by its caller. Time limits are checked only in {@link #tick}, which must be called regularly.
 * When the instance stops, {@link #rejectCallsAfter} and then {@link #rejectAll} reject new calls
 * and calls that wait for an endpoint; calls that have been sent to an endpoint may finish.
 */
public final class CallRegistry {
  private static final Logger LOG = Logs.of("call");
  private static final String INTERNAL_ERROR = "internal error";

  private final CallContext context;
  private final CallEntry entry;
  private final Set<Call> calls = ConcurrentHashMap.newKeySet();
  private volatile Admission admission = Admission.ofAll();

  /** Creates an empty registry; {@code random} selects among a route's weighted services. */
  public CallRegistry(CallContext context, RandomGenerator random) {
    this.context = context;
    this.entry = new CallEntry(context, random);
  }

  /**
   * Starts a call.
   *
   * @return the action to run when the caller disconnects
   */
  public Runnable begin(CallRequest request, CallerResponse caller) {
    CallMetadata metadata = CallMetadata.unknown();
    try {
      metadata = context.protocol().parseRequest(request.headers());
      return begin(request, metadata, caller);
    } catch (RuntimeException | Error e) {
      failures().record(e, "Call could not be started. request=" + metadata.attemptId());
      reject(metadata, caller, ErrorCode.INTERNAL, INTERNAL_ERROR);
      return () -> {};
    }
  }

  private Runnable begin(CallRequest request, CallMetadata metadata, CallerResponse caller) {
    return switch (entry.enter(request, metadata)) {
      case CallEntry.Result.Passed(CallPlan plan) -> register(plan, caller);
      case CallEntry.Result.Rejected(MagnoliavaleException problem) -> {
        reject(metadata, caller, problem);
        yield () -> {};
      }
    };
  }

  private Runnable register(CallPlan plan, CallerResponse caller) {
    Call call = new Call(context, plan, caller, () -> admission.maySend(plan), calls::remove);
    // Registered first: a drain that sees no call in progress has rejected all that come later.
    calls.add(call);
    boolean taken = false;
    try {
      taken = admission.takes(plan);
    } finally {
      if (!taken) {
        calls.remove(call);
      }
    }
    if (!taken) {
      LOG.infof("Rejected, instance is stopping. request=%s", plan.attemptId());
      entry.giveBack(plan);
      reject(plan.metadata(), caller, ErrorCode.STOPPING, "the instance is stopping");
      return () -> {};
    }
    return start(call);
  }

  private Runnable start(Call call) {
    long now = context.nanoClock().getAsLong();
    handle(call, started -> started.start(now));
    return () -> handle(call, left -> left.callerDisconnected(context.nanoClock().getAsLong()));
  }

  /** Rejects a request that has not become a call. */
  public void reject(CallMetadata metadata, CallerResponse caller, ErrorCode code, String reason) {
    reject(metadata, caller, MagnoliavaleException.of(code, reason));
  }

  private void reject(CallMetadata metadata, CallerResponse caller, MagnoliavaleException problem) {
    LocalResponses.sendProblem(
        context.protocol(), metadata.attemptId(), caller, problem.code().httpStatus(), problem);
  }

  /** Checks the time limits of all calls and selects endpoints for waiting calls. */
  public void tick() {
    long now = context.nanoClock().getAsLong();
    forEachCall(call -> call.tick(now));
    context.queue().tick(now);
    context.sendWaitingCalls();
  }

  /** Selects endpoints for waiting calls, after the available endpoints have changed. */
  public void endpointsChanged() {
    context.queue().endpointsChanged();
    context.sendWaitingCalls();
  }

  /** Returns the number of calls that wait for an endpoint. */
  public int waiting() {
    return context.queue().size();
  }

  /**
   * Rejects new calls whose deadline lies after a time, because the instance ends then, and waiting
   * calls, so that their callers retry at another instance.
   */
  public void rejectCallsAfter(long nanos) {
    admission = Admission.ofCallsBefore(nanos);
    rejectWaiting();
  }

  /** Rejects new calls and waiting calls. */
  public void rejectAll() {
    admission = admission.withoutNewCalls();
    rejectWaiting();
  }

  private void rejectWaiting() {
    long now = context.nanoClock().getAsLong();
    forEachCall(call -> call.instanceStopping(now));
    context.sendWaitingCalls();
  }

  private void forEachCall(Consumer<Call> event) {
    calls.forEach(call -> CallSteps.runContained(call, event));
  }

  /** Handles an event of a call, and then those that it was for waiting calls. */
  private void handle(Call call, Consumer<Call> event) {
    CallSteps.runContained(call, event);
    context.sendWaitingCalls();
  }

  /** Logs each call in progress, since the end of the process cuts it off. */
  public void logUnfinished() {
    long now = context.nanoClock().getAsLong();
    forEachCall(call -> call.logUnfinished(now));
  }

  /** Returns what counts and logs the exceptions in steps of calls. */
  public UnexpectedFailures failures() {
    return context.metrics().failures();
  }

  /** Returns the number of calls in progress. */
  public int size() {
    return calls.size();
  }
}
