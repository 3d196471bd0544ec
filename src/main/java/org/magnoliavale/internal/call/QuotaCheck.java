package org.magnoliavale.internal.call;

import java.time.Duration;
import java.util.Optional;
import org.magnoliavale.internal.dispatch.GenerationRequest;
import org.magnoliavale.internal.route.Tenant;

/** Decides whether a tenant's quota has room for a call. Thread-safe; must not block. */
public interface QuotaCheck {
  /** What a quota has for a call. */
  sealed interface Decision {
    /** The call was counted and may go on. */
    record Granted() implements Decision {}

    /**
     * The quota is used up.
     *
     * @param timeToNext time until it has room again
     */
    record Exceeded(Duration timeToNext) implements Decision {}
  }

  /**
   * Counts a call, if the quota has room for it.
   *
   * @param generation what it asks of a model engine, if it does
   * @param nowNanos monotonic time in nanoseconds
   */
  Decision take(Tenant tenant, Optional<GenerationRequest> generation, long nowNanos);

  /** Takes back a call that was counted and then rejected without having been executed. */
  void giveBack(Tenant tenant, Optional<GenerationRequest> generation, long nowNanos);

  /** Returns a check that grants everything. */
  static QuotaCheck unlimited() {
    return new QuotaCheck() {
      @Override
      public Decision take(Tenant tenant, Optional<GenerationRequest> generation, long nowNanos) {
        return new Decision.Granted();
      }

      @Override
      public void giveBack(Tenant tenant, Optional<GenerationRequest> generation, long nowNanos) {}
    };
  }
}
