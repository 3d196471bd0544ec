package org.magnoliavale.internal.call;

import java.util.OptionalLong;

/**
 * Which calls an instance takes and sends to endpoints. It narrows as the instance stops: what may
 * be cut off by the end of the process is not sent.
 *
 * @param takesNewCalls whether new calls are taken at all
 * @param endNanos when the instance ends, in nanoseconds of the monotonic clock; empty if it does
 *     not stop, or if the load balancer still has to notice that it stops
 */
record Admission(boolean takesNewCalls, OptionalLong endNanos) {
  /** Returns an admission of all calls. */
  static Admission ofAll() {
    return new Admission(true, OptionalLong.empty());
  }

  /** Returns an admission of the calls whose deadline lies before a time. */
  static Admission ofCallsBefore(long nanos) {
    return new Admission(true, OptionalLong.of(nanos));
  }

  /** Returns this admission without new calls. */
  Admission withoutNewCalls() {
    return new Admission(false, endNanos);
  }

  /** Returns whether a new call is taken. */
  boolean takes(CallPlan plan) {
    return takesNewCalls && maySend(plan);
  }

  /** Returns whether a call that has been taken may be sent to another endpoint. */
  boolean maySend(CallPlan plan) {
    return endNanos.isEmpty() || plan.deadlineNanos() - endNanos.getAsLong() < 0;
  }
}
