package org.magnoliavale.internal.queue;

/**
 * The first call of a queue, compared with those of other queues that the same endpoint can serve.
 *
 * @param call the call
 * @param neglected whether calls of its priority are served far less often than all are
 * @param late whether its target can't be met any more
 * @param tag its tenant's start tag
 */
record Candidate(WaitingCall call, boolean neglected, boolean late, double tag) {
  /** Returns whether this call is served before the other one. */
  boolean isBefore(Candidate other) {
    if (neglected != other.neglected) {
      return neglected;
    }
    if (call.priority() != other.call.priority()) {
      return call.priority() < other.call.priority();
    }
    if (late != other.late) {
      return other.late;
    }
    if (Math.abs(tag - other.tag) > TenantShares.TOLERANCE_TOKENS) {
      return tag < other.tag;
    }
    return WaitingCall.BY_DUE_TIME.compare(call, other.call) < 0;
  }
}
