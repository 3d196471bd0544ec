package org.magnoliavale.internal.quota;

import java.time.Duration;

/** Whether a tenant's request is within its quota. */
public sealed interface QuotaDecision {
  /** The request may be sent; it counts for so many units. */
  record Granted(double units) implements QuotaDecision {}

  /** The request is over the quota; there should be room for it after the time. */
  record Exceeded(Duration timeToNext) implements QuotaDecision {}
}
