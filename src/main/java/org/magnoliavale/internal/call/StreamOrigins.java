package org.magnoliavale.internal.call;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.magnoliavale.internal.directory.SoftwareVersion;
import org.magnoliavale.internal.identifier.ServiceId;

/**
 * Keeps at which software version the streams of the fleet began, so that any instance can go on
 * with one at that version. Thread-safe; does not block.
 */
public interface StreamOrigins {
  /** What has to happen before the caller gets the first event of a stream. */
  enum Recording {
    /** Nothing: where the stream begins follows from what is known already. */
    NOT_NEEDED,
    /** A record is being written. */
    PENDING
  }

  /**
   * Returns the only version at which streams should begin now, because a beginning at another one
   * could not be recorded; empty if any will do.
   */
  Optional<SoftwareVersion> onlyBeginning(ServiceId service);

  /**
   * Notes that a stream is about to begin.
   *
   * @param attemptId the caller's id of the attempt, empty if absent
   * @param version the version of the endpoint that it is sent to
   * @param lifetime longest time until the stream ends
   * @param onRecorded if a record is pending, is told whether it is kept; may be told at once
   */
  Recording begin(
      ServiceId service,
      String attemptId,
      SoftwareVersion version,
      Duration lifetime,
      Consumer<Boolean> onRecorded);

  /**
   * Finds out at which version a stream began.
   *
   * @param attemptId the caller's id of the attempt that brought its first event, empty if absent
   * @param onFound receives the result; may be called at once
   */
  void find(ServiceId service, String attemptId, Consumer<StreamOrigin> onFound);

  /** Returns origins for endpoints that state no version of their software. */
  static StreamOrigins ofUnstatedVersions() {
    return new StreamOrigins() {
      @Override
      public Optional<SoftwareVersion> onlyBeginning(ServiceId service) {
        return Optional.empty();
      }

      @Override
      public Recording begin(
          ServiceId service,
          String attemptId,
          SoftwareVersion version,
          Duration lifetime,
          Consumer<Boolean> onRecorded) {
        return Recording.NOT_NEEDED;
      }

      @Override
      public void find(ServiceId service, String attemptId, Consumer<StreamOrigin> onFound) {
        onFound.accept(new StreamOrigin.Known(SoftwareVersion.UNSTATED));
      }
    };
  }
}
