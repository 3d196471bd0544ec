package org.magnoliavale.internal.call;

import java.time.Duration;
import java.util.Optional;
import org.magnoliavale.internal.dispatch.GenerationRequest;
import org.magnoliavale.internal.tenant.CallerCredential;

/**
 * Parsed headers of a caller's request.
 *
 * @param attemptId the caller's id of this attempt, empty if absent
 * @param timeRemaining how long the caller will wait, if given
 * @param lastEventId the last event that the caller received, if it resumes a stream
 * @param resumedAttemptId the id of its attempt that brought the first event of the stream that it
 *     resumes, empty if absent
 * @param generation the request to a model engine, if the headers name a model
 * @param credential the key of its caller
 */
public record CallMetadata(
    String attemptId,
    Optional<Duration> timeRemaining,
    Optional<Long> lastEventId,
    String resumedAttemptId,
    Optional<GenerationRequest> generation,
    CallerCredential credential) {
  /** Returns the metadata of a request whose headers could not be parsed. */
  public static CallMetadata unknown() {
    return new CallMetadata(
        "",
        Optional.empty(),
        Optional.empty(),
        "",
        Optional.empty(),
        new CallerCredential.Absent());
  }
}
