package org.magnoliavale.platform;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.magnoliavale.internal.route.ConfigurationPollResult;
import org.magnoliavale.internal.route.ConfigurationSource;

/** The operator's configuration in the platform's store. Used by one thread. */
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
  public ConfigurationPollResult poll() {
    StoreConnection.Answer answer =
        seenVersion < 0 ? store.readAll(TABLE, KEY) : store.feed(TABLE, seenVersion, wait);
    return switch (answer) {
      case StoreConnection.Answer.Done(var rows, long newest) -> {
        seenVersion = newest;
        yield found(rows);
      }
      case StoreConnection.Answer.HistoryGone() -> {
        seenVersion = -1;
        yield new ConfigurationPollResult.Unavailable("history gone");
      }
      case StoreConnection.Answer.Refused(String reason) ->
          new ConfigurationPollResult.Unavailable(reason);
      case StoreConnection.Answer.Lost(String reason) ->
          new ConfigurationPollResult.Unavailable(reason);
      case StoreConnection.Answer.ConditionFailed(var ignored) ->
          new ConfigurationPollResult.Unavailable("unexpected answer");
    };
  }

  private static ConfigurationPollResult found(List<StoreConnection.StoredRow> rows) {
    ConfigurationPollResult reading = new ConfigurationPollResult.Unchanged();
    for (StoreConnection.StoredRow row : rows) {
      if (row.key().equals(KEY) && row.value() != null) {
        try {
          reading = new ConfigurationPollResult.Found(ConfigurationDecoder.decode(row.value()));
        } catch (IOException e) {
          return new ConfigurationPollResult.Unavailable("configuration: " + e.getMessage());
        }
      }
    }
    return reading;
  }
}
