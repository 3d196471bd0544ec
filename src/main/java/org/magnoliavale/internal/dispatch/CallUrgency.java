package org.magnoliavale.internal.dispatch;

import java.time.Duration;

/**
 * How soon a call must be answered.
 *
 * @param timeToTarget time until its first event, or response, is late; not positive if it is
 *     already
 * @param timeToDeadline time until its caller leaves
 * @param targetGap longest pause between two events that is still on time; 0 if none is stated
 * @param priority 0 is the most urgent
 */
public record CallUrgency(
    Duration timeToTarget, Duration timeToDeadline, Duration targetGap, int priority) {}
