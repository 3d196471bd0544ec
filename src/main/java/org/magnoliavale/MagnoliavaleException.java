package org.magnoliavale;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Unchecked exception with a stable error code and, for invalid configuration, all findings. */
public final class MagnoliavaleException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ErrorCode code;
  private final transient List<Finding> findings;
  private final Duration retryAfter;

  private MagnoliavaleException(
      ErrorCode code, String message, List<Finding> findings, Duration retryAfter) {
    super(message);
    this.code = Objects.requireNonNull(code, "code");
    this.findings = List.copyOf(findings);
    this.retryAfter = retryAfter;
  }

  /** Returns an exception with {@code code} and a human-readable message. */
  public static MagnoliavaleException of(ErrorCode code, String message) {
    return new MagnoliavaleException(code, message, List.of(), null);
  }

  /** Returns an exception that reports all findings of a configuration text. */
  public static MagnoliavaleException ofFindings(List<Finding> findings) {
    String message = findings.size() + " finding(s) in the configuration";
    return new MagnoliavaleException(ErrorCode.INVALID_CONFIGURATION, message, findings, null);
  }

  /** Returns a copy that tells the caller how long to wait before a retry. */
  public MagnoliavaleException withRetryAfter(Duration delay) {
    return new MagnoliavaleException(code, getMessage(), findings, delay);
  }

  /** Returns the error code. */
  public ErrorCode code() {
    return code;
  }

  /** Returns the findings, empty unless the code is {@link ErrorCode#INVALID_CONFIGURATION}. */
  public List<Finding> findings() {
    return findings;
  }

  /** Returns how long the caller should wait before a retry, or empty if not specified. */
  public Optional<Duration> retryAfter() {
    return Optional.ofNullable(retryAfter);
  }
}
