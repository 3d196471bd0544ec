package org.magnoliavale.internal.call;

import java.time.Duration;
import java.util.Optional;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.internal.queue.WaitForecast;

/**
 * Why a call that has not been executed is not served.
 *
 * @param code the code of the problem
 * @param reason the reason, for the caller and the log
 * @param refusals number of attempts that endpoints refused
 * @param delay time after which the caller may come back
 * @param forecast how long the call would have waited, if that is why
 */
record Rejection(
    ErrorCode code, String reason, int refusals, Duration delay, Optional<WaitForecast> forecast) {}
