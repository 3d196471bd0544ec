package org.magnoliavale.internal.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.identifier.IdentifierRules;
import org.magnoliavale.internal.identifier.TenantId;
import org.magnoliavale.internal.link.protocol.Heartbeat;
import org.magnoliavale.internal.quota.TenantQuotas;
import org.magnoliavale.internal.quota.TenantUse;

/**
 * The part of heartbeats that concerns the quotas of tenants.
 *
 * @param quotas the quotas that this instance keeps
 */
record QuotaExchange(TenantQuotas quotas) implements HeartbeatPart {
  /** Most units, and most units a second, that a peer may state. */
  private static final double MAXIMUM_UNITS = 1e15;

  /** Longest time since a statement that is believed. */
  private static final long MAXIMUM_AGE_MS = TimeUnit.MINUTES.toMillis(1);

  @Override
  public void addTo(Heartbeat.Builder heartbeat, long nowNanos) {
    TenantQuotas.Announcement announcement = quotas.announce(nowNanos);
    for (TenantUse use : announcement.uses()) {
      heartbeat
          .addTenantUsesBuilder()
          .setTenant(use.tenant().value())
          .setDemand((float) use.demand())
          .setUsed(use.used())
          .setRecent((float) use.recent())
          .setUrgent(announcement.atOnce());
    }
  }

  @Override
  public void apply(String peer, Heartbeat heartbeat, long nowNanos) {
    List<TenantUse> uses = new ArrayList<>();
    long ageMs = 0;
    for (org.magnoliavale.internal.link.protocol.TenantUse use : heartbeat.getTenantUsesList()) {
      if (isValid(use)) {
        TenantId tenant = new TenantId(use.getTenant());
        uses.add(new TenantUse(tenant, use.getDemand(), use.getUsed(), use.getRecent()));
        ageMs = Math.clamp(use.getAgeMs(), 0, MAXIMUM_AGE_MS);
      }
    }
    long saidNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMs);
    quotas.learn(peer, heartbeat.getStartedMs(), uses, saidNanos, nowNanos);
  }

  private static boolean isValid(org.magnoliavale.internal.link.protocol.TenantUse use) {
    return IdentifierRules.isValid(use.getTenant())
        && isAmount(use.getDemand())
        && isAmount(use.getUsed())
        && isAmount(use.getRecent());
  }

  private static boolean isAmount(double value) {
    return value >= 0 && value <= MAXIMUM_UNITS;
  }
}
