package org.magnoliavale.internal.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.identifier.TenantId;
import org.magnoliavale.internal.logging.Logs;

/** Logs when a tenant exceeds its quota and when it is within it again. Not thread-safe. */
final class QuotaLog {
  private static final Logger LOG = Logs.of("quota");

  /** Time without a request over the quota after which a tenant is within it again. */
  private static final long WITHIN_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Time between two lines of a tenant that keeps exceeding its quota. */
  private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(10);

  private static final class Excess {
    private long lastNanos;
    private long loggedNanos;
    private long requests;
  }

  private final Map<TenantId, Excess> excesses = new HashMap<>();

  void exceeded(TenantId tenant, TenantQuota quota, long nowNanos) {
    Excess excess = excesses.get(tenant);
    boolean first = excess == null;
    if (first) {
      excess = new Excess();
      excesses.put(tenant, excess);
    }
    excess.lastNanos = nowNanos;
    excess.requests++;
    if (first || nowNanos - excess.loggedNanos >= REPEAT_NANOS) {
      excess.loggedNanos = nowNanos;
      LOG.infof(
          "Tenant exceeds its quota. tenant=%s demand-per-second=%.0f quota-per-second=%.0f"
              + " share=%.3f requests=%d",
          tenant, quota.fleetDemand(), quota.quota().perSecond(), quota.share(), excess.requests);
    }
  }

  void granted(TenantId tenant, TenantQuota quota, long nowNanos) {
    Excess excess = excesses.get(tenant);
    if (excess == null || nowNanos - excess.lastNanos < WITHIN_NANOS) {
      return;
    }
    excesses.remove(tenant);
    LOG.infof(
        "Tenant is within its quota again. tenant=%s demand-per-second=%.0f"
            + " quota-per-second=%.0f requests=%d",
        tenant, quota.fleetDemand(), quota.quota().perSecond(), excess.requests);
  }
}
