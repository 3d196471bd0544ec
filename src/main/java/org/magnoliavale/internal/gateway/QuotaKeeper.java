package org.magnoliavale.internal.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.magnoliavale.internal.call.QuotaCheck;
import org.magnoliavale.internal.dispatch.GenerationRequest;
import org.magnoliavale.internal.limit.FleetView;
import org.magnoliavale.internal.quota.QuotaBounds;
import org.magnoliavale.internal.quota.QuotaDecision;
import org.magnoliavale.internal.quota.TenantQuotas;
import org.magnoliavale.internal.route.RouteTable;
import org.magnoliavale.internal.route.Tenant;
import org.magnoliavale.internal.route.TenantTable;

/**
 * The quotas of tenants in an instance: takes their limits from the configuration, and publishes
 * their metrics.
 *
 * @param quotas the quotas
 * @param nanoClock monotonic time in nanoseconds
 */
record QuotaKeeper(TenantQuotas quotas, LongSupplier nanoClock) implements QuotaCheck {
  /**
   * Returns quotas of which nothing has been used.
   *
   * @param fleet the instances that share the quotas, at a time
   * @param routes the present configuration; null before the first one was read
   */
  static QuotaKeeper create(
      LongFunction<FleetView> fleet, Supplier<RouteTable> routes, QuotaBounds bounds) {
    return new QuotaKeeper(
        new TenantQuotas(
            fleet,
            () -> tenants(routes.get()),
            bounds,
            System.currentTimeMillis(),
            System.nanoTime()),
        System::nanoTime);
  }

  private static TenantTable tenants(RouteTable routes) {
    return routes == null ? TenantTable.none() : routes.tenants();
  }

  @Override
  public Decision take(Tenant tenant, Optional<GenerationRequest> generation, long nowNanos) {
    return switch (quotas.take(tenant, generation, nowNanos)) {
      case QuotaDecision.Granted(double ignored) -> new Decision.Granted();
      case QuotaDecision.Exceeded(Duration timeToNext) -> new Decision.Exceeded(timeToNext);
    };
  }

  @Override
  public void giveBack(Tenant tenant, Optional<GenerationRequest> generation, long nowNanos) {
    quotas.giveBack(tenant, generation, nowNanos);
  }

  /** Registers the metrics, and adds what peers are told to heartbeats. */
  void start(InstanceGauges gauges, PeerStateExchange peers) {
    gauges
        .number("tenant_requests_over_quota", quotas::requestsOverQuota)
        .number("tenant_units_granted", quotas::grantedUnits);
    peers.add(new QuotaExchange(quotas));
  }

  /** Returns whether peers have to be told at once of what was used. */
  boolean takeNews() {
    return quotas.takeNews(nanoClock.getAsLong());
  }
}
