package org.magnoliavale.internal.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.magnoliavale.internal.dispatch.GenerationRequest;
import org.magnoliavale.internal.identifier.TenantId;
import org.magnoliavale.internal.limit.FleetView;
import org.magnoliavale.internal.route.Quota;
import org.magnoliavale.internal.route.Tenant;
import org.magnoliavale.internal.route.TenantTable;

/**
 * The quotas of tenants, which all instances keep together. Thread-safe.
 *
 * <p>A request is granted or not at once; it never waits and no peer is asked. Instances tell each
 * other what tenants ask of them and what they have granted, and each uses its share of the quota,
 * by its demand.
 *
 * <pre>{@code
 * switch (quotas.take(tenant, generation, now)) {
 *   case QuotaDecision.Granted(double units) -> send(units);
 *   case QuotaDecision.Exceeded(Duration timeToNext) -> reject(timeToNext);
 * }
 * }</pre>
 *
 * <p>Times are in nanoseconds of a monotonic clock.
 */
public final class TenantQuotas {
  private static final QuotaDecision WITHOUT_QUOTA = new QuotaDecision.Granted(0);

  /** Time for which the view of the fleet and the shares are used before they are computed anew. */
  private static final long VALIDITY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Least time between two heartbeats that are sent at once. */
  private static final long URGENT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** Tenants of which peers are told at most, and that a peer may tell of. */
  private static final int MAXIMUM_TOLD = 256;

  /** Demand in units a second from which peers are told of a tenant. */
  private static final double MINIMUM_DEMAND = 0.01;

  /** What peers are told. */
  public record Announcement(List<TenantUse> uses, boolean atOnce) {}

  private final LongFunction<FleetView> fleet;
  private final Supplier<TenantTable> tenants;
  private final QuotaBounds bounds;
  private final FleetContact contact;
  private final Map<TenantId, TenantQuota> quotas = new HashMap<>();
  private final QuotaLog log = new QuotaLog();
  private TenantTable configured = TenantTable.none();
  private long updatedNanos;
  private boolean outdated = true;
  private long lastUrgentNanos;
  private boolean tellAtOnce;
  private long requestsOverQuota;
  private double grantedUnits;

  /**
   * Returns quotas of which nothing has been used.
   *
   * @param fleet the instances that share the quotas, at a time
   * @param tenants the tenants of the present configuration
   * @param startMs wall clock at the start of this instance, in Unix milliseconds
   */
  public TenantQuotas(
      LongFunction<FleetView> fleet,
      Supplier<TenantTable> tenants,
      QuotaBounds bounds,
      long startMs,
      long nowNanos) {
    this.fleet = fleet;
    this.tenants = tenants;
    this.bounds = bounds;
    contact = new FleetContact(bounds.window(), startMs, nowNanos);
    updatedNanos = nowNanos;
    lastUrgentNanos = nowNanos - URGENT_INTERVAL_NANOS;
  }

  /**
   * Takes what a tenant's request counts for, if its quota allows that.
   *
   * @param generation the part of the request that concerns an engine; absent for any other one
   */
  public synchronized QuotaDecision take(
      Tenant tenant, Optional<GenerationRequest> generation, long nowNanos) {
    if (tenant.quota().isEmpty()) {
      return WITHOUT_QUOTA;
    }
    update(nowNanos);
    TenantQuota quota = quotas.get(tenant.id());
    if (quota == null) {
      quota = install(tenant.id(), tenant.quota().get(), nowNanos);
      update(nowNanos);
    }
    double units = units(quota.quota(), generation);
    quota.recordDemand(units, nowNanos);
    boolean granted = quota.take(units, contact, nowNanos);
    tellAtOnce |= quota.isUrgent();
    if (!granted) {
      requestsOverQuota++;
      log.exceeded(tenant.id(), quota, nowNanos);
      return new QuotaDecision.Exceeded(quota.timeToNext(units, contact, nowNanos));
    }
    grantedUnits += units;
    log.granted(tenant.id(), quota, nowNanos);
    return new QuotaDecision.Granted(units);
  }

  private static double units(Quota quota, Optional<GenerationRequest> generation) {
    return switch (quota.unit()) {
      case REQUESTS -> 1;
      case TOKENS ->
          generation
              .map(request -> (double) request.promptTokens() + request.outputTokens())
              .orElse(quota.unitsWithoutTokens());
    };
  }

  private TenantQuota install(TenantId tenant, Quota limit, long nowNanos) {
    TenantQuota quota = quotas.get(tenant);
    if (quota == null) {
      quota = new TenantQuota(limit, bounds, nowNanos);
      quotas.put(tenant, quota);
      outdated = true;
    } else if (!quota.quota().equals(limit)) {
      quota.change(limit);
      outdated = true;
    }
    return quota;
  }

  private void update(long nowNanos) {
    if (!outdated && nowNanos - updatedNanos < VALIDITY_NANOS) {
      return;
    }
    outdated = false;
    updatedNanos = nowNanos;
    configure(tenants.get(), nowNanos);
    if (quotas.isEmpty()) {
      return;
    }
    contact.update(fleet.apply(nowNanos), nowNanos);
    quotas.values().forEach(quota -> quota.updateShare(contact, nowNanos));
  }

  private void configure(TenantTable table, long nowNanos) {
    if (table == configured) {
      return;
    }
    configured = table;
    Set<TenantId> limited = new HashSet<>();
    for (Tenant tenant : table.tenants()) {
      tenant
          .quota()
          .ifPresent(
              limit -> {
                limited.add(tenant.id());
                install(tenant.id(), limit, nowNanos);
              });
    }
    quotas.keySet().retainAll(limited);
  }

  /** Gives back what was taken for a request that has not been executed. */
  public void giveBack(Tenant tenant, Optional<GenerationRequest> generation, long nowNanos) {
    tenant.quota().ifPresent(quota -> giveBack(tenant.id(), units(quota, generation), nowNanos));
  }

  /** Gives back units that were granted for a request that has not been executed. */
  public synchronized void giveBack(TenantId tenant, double units, long nowNanos) {
    TenantQuota quota = quotas.get(tenant);
    if (quota != null && units > 0) {
      quota.giveBack(units, nowNanos);
      grantedUnits -= units;
    }
  }

  /** Returns whether peers have to be told at once, and have not been told for some time. */
  public synchronized boolean takeNews(long nowNanos) {
    boolean news = tellAtOnce && nowNanos - lastUrgentNanos >= URGENT_INTERVAL_NANOS;
    if (news) {
      lastUrgentNanos = nowNanos;
    }
    return news;
  }

  /** Returns what peers are to be told; they are told all of it, at once if it says so. */
  public synchronized Announcement announce(long nowNanos) {
    update(nowNanos);
    boolean atOnce = tellAtOnce;
    if (atOnce || contact.isMesh()) {
      contact.told(nowNanos);
    }
    tellAtOnce = false;
    long newsNanos = contact.newsNanos(atOnce);
    List<TenantUse> uses = new ArrayList<>();
    quotas.forEach(
        (tenant, quota) -> {
          TenantUse use = quota.announce(tenant, atOnce, newsNanos, nowNanos);
          boolean active = use.demand() > MINIMUM_DEMAND || use.recent() > 0;
          if (active && uses.size() < MAXIMUM_TOLD) {
            uses.add(use);
          }
        });
    return new Announcement(uses, atOnce);
  }

  /**
   * Applies what a peer has said.
   *
   * @param startMs wall clock at the peer's start, in Unix milliseconds
   * @param saidNanos when it said so
   */
  public synchronized void learn(
      String peer, long startMs, Collection<TenantUse> uses, long saidNanos, long nowNanos) {
    update(nowNanos);
    if (quotas.isEmpty()) {
      return;
    }
    long sinceNanos = contact.heard(peer, startMs, saidNanos);
    Map<TenantId, TenantUse> byTenant = new HashMap<>();
    uses.stream().limit(MAXIMUM_TOLD).forEach(use -> byTenant.put(use.tenant(), use));
    quotas.forEach(
        (tenant, quota) -> {
          TenantUse use = byTenant.get(tenant);
          if (use == null) {
            quota.learnNoDemand(peer);
          } else {
            quota.learn(peer, use, startMs, sinceNanos, saidNanos, nowNanos);
          }
        });
  }

  /** Returns the number of requests that were not granted. */
  public synchronized long requestsOverQuota() {
    return requestsOverQuota;
  }

  /** Returns the units that were granted and not given back. */
  public synchronized long grantedUnits() {
    return (long) grantedUnits;
  }
}
