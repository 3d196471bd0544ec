package org.magnoliavale.platform;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.magnoliavale.internal.route.ConfigurationPollResult;
import org.magnoliavale.internal.route.ConfigurationSource;

/**
 * Reads the operator's configuration from the platform's store and waits for changes by long
 * polling. Used by one thread.
 */
final class StoreConfigurationSource implements ConfigurationSource {
  private static final String TABLE = "op";
  private static final String KEY = "config";

  private final StoreClient store;
  private final Duration pollTimeout;
  private long seenVersion = -1;

  StoreConfigurationSource(StoreClient store, Duration pollTimeout) {
    this.store = store;
    this.pollTimeout = pollTimeout;
  }

  @Override
  public ConfigurationPollResult poll() {
    StoreClient.Result result =
        seenVersion < 0
            ? store.readAll(TABLE, KEY)
            : store.awaitChanges(TABLE, seenVersion, pollTimeout);
    return switch (result) {
      case StoreClient.Result.Success(var rows, long newestVersion, long ignored) -> {
        seenVersion = newestVersion;
        yield toPollResult(rows);
      }
      case StoreClient.Result.HistoryUnavailable() -> {
        seenVersion = -1;
        yield new ConfigurationPollResult.Unavailable("change history no longer available");
      }
      case StoreClient.Result.Unavailable(String reason) ->
          new ConfigurationPollResult.Unavailable(reason);
      case StoreClient.Result.OutcomeUnknown(String reason) ->
          new ConfigurationPollResult.Unavailable(reason);
      case StoreClient.Result.ConditionFailed(var ignored) ->
          new ConfigurationPollResult.Unavailable("unexpected response: condition failed");
    };
  }

  private static ConfigurationPollResult toPollResult(List<StoreClient.StoredRow> rows) {
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
