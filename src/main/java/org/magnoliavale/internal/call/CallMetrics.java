package org.magnoliavale.internal.call;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Timer;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.magnoliavale.internal.identifier.TenantId;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.metrics.InstanceMetrics;
import org.magnoliavale.internal.metrics.UnexpectedFailures;

/** Counters of the outcomes of calls, and a timer of the first byte of each response. */
public final class CallMetrics {
  /** Tenants that are counted by name. */
  private static final int MAXIMUM_NAMED_TENANTS = 64;

  private static final String OF_TENANT = "calls_of_tenant_";
  private static final String OF_OTHER_TENANTS = "calls_of_other_tenants";

  private final InstanceMetrics metrics;
  private final Map<TenantId, Counter> ofTenants = new ConcurrentHashMap<>();
  private final Counter unauthenticated;
  private final Counter keyUndecided;
  private final Counter answered;
  private final Counter failed;
  private final Counter rejected;
  private final Counter retried;
  private final Counter passedToPeers;
  private final Counter abandoned;
  private final Counter rejectedByForecast;
  private final Timer firstByte;
  private final Timer waited;
  private final UnexpectedFailures failures;

  /** Registers the metrics in {@code metrics}. */
  public CallMetrics(InstanceMetrics metrics) {
    this.metrics = metrics;
    unauthenticated = metrics.counter("calls_unauthenticated");
    keyUndecided = metrics.counter("calls_key_undecided");
    answered = metrics.counter("calls_answered");
    failed = metrics.counter("calls_failed");
    rejected = metrics.counter("calls_refused");
    retried = metrics.counter("calls_repeated");
    passedToPeers = metrics.counter("calls_passed_to_peers");
    abandoned = metrics.counter("calls_abandoned");
    rejectedByForecast = metrics.counter("calls_refused_by_forecast");
    firstByte = metrics.timer("call_first_byte");
    waited = metrics.timer("call_wait");
    failures =
        new UnexpectedFailures(metrics.counter("calls_failed_unexpectedly"), Logs.of("call"));
  }

  /** Calls without a valid key. */
  Counter unauthenticated() {
    return unauthenticated;
  }

  /** Calls whose key could not be checked. */
  Counter keyUndecided() {
    return keyUndecided;
  }

  /** Returns the counter of a tenant's calls; beyond a number of tenants, they share one. */
  Counter ofTenant(TenantId tenant) {
    Counter known = ofTenants.get(tenant);
    if (known != null) {
      return known;
    }
    return ofTenants.size() < MAXIMUM_NAMED_TENANTS
        ? ofTenants.computeIfAbsent(tenant, id -> metrics.counter(OF_TENANT + id))
        : metrics.counter(OF_OTHER_TENANTS);
  }

  Counter answered() {
    return answered;
  }

  Counter failed() {
    return failed;
  }

  Counter rejected() {
    return rejected;
  }

  Counter retried() {
    return retried;
  }

  /** Calls that were passed to a peer, because no endpoint was reached from here. */
  Counter passedToPeers() {
    return passedToPeers;
  }

  Counter abandoned() {
    return abandoned;
  }

  /** Returns the counter of calls that were rejected because they would have waited too long. */
  Counter rejectedByForecast() {
    return rejectedByForecast;
  }

  Timer firstByte() {
    return firstByte;
  }

  /** Returns the timer of the waits for room, of calls that were sent after one. */
  Timer waited() {
    return waited;
  }

  /** Returns what counts and logs the exceptions in steps of calls. */
  UnexpectedFailures failures() {
    return failures;
  }
}
