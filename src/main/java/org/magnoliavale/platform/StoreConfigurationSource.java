package org.magnoliavale.platform;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.magnoliavale.internal.route.ConfigurationPollResult;
import org.magnoliavale.internal.route.ConfigurationSource;

/**
 * Reads the operator's configuration from the platform's store and waits for changes by long
 * polling. Polled by one thread; others may read at the same time.
 */
final class StoreConfigurationSource implements ConfigurationSource {
  private static final String TABLE = "op";
  private static final String KEY = "config";
  private static final long UNKNOWN = -1;

  private final StoreClient store;
  private final Duration pollTimeout;
  private long seenVersion = UNKNOWN;
  private volatile long seenGeneration;

  StoreConfigurationSource(StoreClient store, Duration pollTimeout) {
    this.store = store;
    this.pollTimeout = pollTimeout;
  }

  @Override
  public ConfigurationPollResult poll() {
    return poll(pollTimeout);
  }

  @Override
  public ConfigurationPollResult read() {
    return toPollResult(store.readAll(TABLE, KEY));
  }

  @Override
  public boolean isWaitVoid() {
    // Versions are given out again: the wait ends only once they pass the one that was seen.
    return store.generation() > seenGeneration;
  }

  @Override
  public ConfigurationPollResult poll(Duration wait) {
    if (seenVersion == UNKNOWN) {
      return apply(store.readAll(TABLE, KEY));
    }
    StoreClient.Result changes = store.awaitChanges(TABLE, seenVersion, wait);
    if (isComplete(changes)) {
      return apply(changes);
    }
    // The history between is gone, or versions were given out again: only a whole read shows all.
    seenVersion = UNKNOWN;
    return apply(store.readAll(TABLE, KEY));
  }

  /** Returns whether changes follow those that were seen before. */
  private boolean isComplete(StoreClient.Result changes) {
    return switch (changes) {
      case StoreClient.Result.Success(var ignoredRows, long ignoredVersion, long generation) ->
          generation == seenGeneration;
      case StoreClient.Result.HistoryUnavailable() -> false;
      case StoreClient.Result.Unavailable ignored -> true;
      case StoreClient.Result.OutcomeUnknown ignored -> true;
      case StoreClient.Result.ConditionFailed ignored -> true;
    };
  }

  private ConfigurationPollResult apply(StoreClient.Result result) {
    if (result
        instanceof
        StoreClient.Result.Success(var ignoredRows, long newestVersion, long generation)) {
      seenVersion = newestVersion;
      seenGeneration = generation;
    }
    return toPollResult(result);
  }

  private static ConfigurationPollResult toPollResult(StoreClient.Result result) {
    return switch (result) {
      case StoreClient.Result.Success success -> decode(success.rows());
      case StoreClient.Result.HistoryUnavailable() ->
          new ConfigurationPollResult.Unavailable("change history no longer available");
      case StoreClient.Result.Unavailable(String reason) ->
          new ConfigurationPollResult.Unavailable(reason);
      case StoreClient.Result.OutcomeUnknown(String reason) ->
          new ConfigurationPollResult.Unavailable(reason);
      case StoreClient.Result.ConditionFailed(var ignored) ->
          new ConfigurationPollResult.Unavailable("unexpected response: condition failed");
    };
  }

  private static ConfigurationPollResult decode(List<StoreClient.StoredRow> rows) {
    ConfigurationPollResult pollResult = new ConfigurationPollResult.Unchanged();
    for (StoreClient.StoredRow row : rows) {
      if (row.key().equals(KEY) && row.value() != null) {
        try {
          pollResult = new ConfigurationPollResult.Found(ConfigurationDecoder.decode(row.value()));
        } catch (IOException e) {
          return new ConfigurationPollResult.Unavailable(
              "invalid configuration: " + e.getMessage());
        }
      }
    }
    return pollResult;
  }
}
