package org.magnoliavale.internal.call;

import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.directory.SoftwareVersion;
import org.magnoliavale.internal.dispatch.EndpointChoice;
import org.magnoliavale.internal.dispatch.SelectionCriteria;

/** Selects the endpoints of one call, without those that it is not sent to again. */
final class EndpointSelection {
  private final CallContext context;
  private final CallPlan plan;
  private final ResponseProgress progress;
  private final TriedEndpoints tried = new TriedEndpoints();

  EndpointSelection(CallContext context, CallPlan plan, ResponseProgress progress) {
    this.context = context;
    this.plan = plan;
    this.progress = progress;
  }

  /** Returns the endpoints that the call has been sent to, and those that are excluded. */
  TriedEndpoints tried() {
    return tried;
  }

  private SelectionCriteria criteria(long nowNanos) {
    return new SelectionCriteria(
        plan.service(),
        plan.metadata().generation(),
        Optional.of(plan.urgencyAt(nowNanos)),
        progress.version().or(this::onlyBeginning),
        tried.excluded());
  }

  /** Returns the only version at which the stream of a call may begin now; empty if any may. */
  private Optional<SoftwareVersion> onlyBeginning() {
    return plan.route().isResumableStream()
        ? context.origins().onlyBeginning(plan.service())
        : Optional.empty();
  }

  /** Selects an endpoint for the next attempt. */
  EndpointChoice choose(long nowNanos) {
    return context.chooser().choose(criteria(nowNanos), plan.connectionLimit(), nowNanos);
  }

  /**
   * Selects an endpoint that can take the call now although it is in progress at another one, and
   * takes a retry from the budget. Either of the two may begin a stream that is resumed, so both
   * have the same version.
   */
  Optional<EndpointChoice.Selected> chooseOtherWithinBudget(
      DirectoryEntry inProgress, RetryAllowance retries, long nowNanos) {
    SelectionCriteria others = criteria(nowNanos).excluding(inProgress.identity());
    SelectionCriteria criteria =
        plan.route().isResumableStream()
            ? others.withVersion(inProgress.softwareVersion())
            : others;
    Optional<EndpointChoice.Selected> choice =
        context.endpoints().chooseHealthy(criteria, plan.connectionLimit(), nowNanos);
    if (choice.isPresent() && !retries.spendRetry(nowNanos)) {
      context.endpoints().releaseSelection(choice.get(), nowNanos);
      return Optional.empty();
    }
    return choice;
  }

  /** Selects a peer that the call is passed to; empty if there is none. */
  Optional<EndpointChoice.Selected> choosePeer(long nowNanos) {
    return context.peers().choose(tried.excluded(), nowNanos);
  }

  /** Returns the request that passes the call to a peer, and records that it is sent. */
  OutgoingRequest peerRequest(EndpointChoice.Selected choice, long nowNanos) {
    HttpFields headers =
        context
            .protocol()
            .peerRequestHeaders(
                plan.request().headers(),
                plan.attemptId(),
                plan.timeRemaining(nowNanos),
                progress.hasStarted() ? progress.lastEvent() : Optional.empty());
    return new OutgoingRequest(
        choice.endpoint(),
        plan.request().method(),
        plan.request().pathQuery(),
        HttpFields.build(headers)
            .put(PeerCalls.PROOF_HEADER, context.peers().proof(plan.attemptId())),
        plan.request().body(),
        tried.recordAttempt(choice.endpoint().identity()));
  }

  /** Returns the request for an attempt at an endpoint, and records that it is sent. */
  OutgoingRequest request(EndpointChoice.Selected choice, Optional<Long> lastEvent, long nowNanos) {
    EndpointIdentity endpoint = choice.endpoint().identity();
    ForwardingContext forwarding =
        new ForwardingContext(
            endpoint, plan.timeRemaining(nowNanos), plan.urgency(), lastEvent, plan.caller());
    return new OutgoingRequest(
        choice.endpoint(),
        plan.request().method(),
        plan.request().pathQuery(),
        context.protocol().requestHeaders(plan.request().headers(), forwarding),
        plan.request().body(),
        tried.recordAttempt(endpoint));
  }
}
