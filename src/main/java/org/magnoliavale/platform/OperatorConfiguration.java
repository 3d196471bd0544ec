package org.magnoliavale.platform;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.magnoliavale.internal.route.ConfigurationReading;
import org.magnoliavale.internal.route.ConfigurationSource;

/**
 * Reads the operator's configuration from the platform's store and waits for changes by long
 * polling. Used by one thread.
 */
final class OperatorConfiguration implements ConfigurationSource {
  private static final String TABLE = "op";
  private static final String KEY = "config";

  private final StoreConnection store;
  private final Duration wait;
  private long seenVersion = -1;

  OperatorConfiguration(StoreConnection store, Duration wait) {
    this.store = store;
    this.wait = wait;
  }

  @Override
  public ConfigurationReading poll() {
    StoreConnection.Answer answer =
        seenVersion < 0 ? store.readAll(TABLE, KEY) : store.feed(TABLE, seenVersion, wait);
    return switch (answer) {
      case StoreConnection.Answer.Done(var rows, long newest) -> {
        seenVersion = newest;
        yield found(rows);
      }
      case StoreConnection.Answer.HistoryGone() -> {
        seenVersion = -1;
        yield new ConfigurationReading.Unavailable("change history no longer available");
      }
      case StoreConnection.Answer.Refused(String reason) ->
          new ConfigurationReading.Unavailable(reason);
      case StoreConnection.Answer.Lost(String reason) ->
          new ConfigurationReading.Unavailable(reason);
      case StoreConnection.Answer.ConditionFailed(var ignored) ->
          new ConfigurationReading.Unavailable("unexpected response: condition failed");
    };
  }

  private static ConfigurationReading found(List<StoreConnection.StoredRow> rows) {
    ConfigurationReading reading = new ConfigurationReading.Unchanged();
    for (StoreConnection.StoredRow row : rows) {
      if (row.key().equals(KEY) && row.value() != null) {
        try {
          reading = new ConfigurationReading.Found(ConfigurationDecoder.decode(row.value()));
        } catch (IOException e) {
          return new ConfigurationReading.Unavailable("invalid configuration: " + e.getMessage());
        }
      }
    }
    return reading;
  }
}
