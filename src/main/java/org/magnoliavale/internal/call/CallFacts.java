package org.magnoliavale.internal.call;

import java.time.Duration;
import java.util.Optional;
import org.magnoliavale.internal.dispatch.GenerationRequest;

/**
 * What a caller's headers say.
 *
 * @param attemptId the caller's id of this attempt, empty if it sent none
 * @param timeRemaining how long the caller will wait, if it says so
 * @param lastEventId the last event that the caller has, if it resumes a stream
 * @param generation what it asks of a model engine, if it asks one
 */
public record CallFacts(
    String attemptId,
    Optional<Duration> timeRemaining,
    Optional<Long> lastEventId,
    Optional<GenerationRequest> generation) {}
