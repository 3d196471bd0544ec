package org.magnoliavale.soak;

import java.util.ArrayList;
import java.util.List;

/** The configurations of a play and when they were written. Thread-safe. */
final class ConfigurationHistory {
  private static final int FIRST_VERSION = 100;
  private static final int VERSION_STEP = 3;

  /** Time after the writing of a version for which requests may be handled as the last one says. */
  private static final long IN_FORCE_AFTER_MS = 3_000;

  private record Written(long time, ConfigurationText configuration) {}

  private final PlayClock clock;
  private final SoakDeployment deployment;
  private final List<Written> versions = new ArrayList<>();
  private final List<Long> changes = new ArrayList<>();

  ConfigurationHistory(PlayClock clock, SoakDeployment deployment) {
    this.clock = clock;
    this.deployment = deployment;
    versions.add(new Written(0, new ConfigurationText(FIRST_VERSION)));
  }

  /** Returns a newer version with nothing particular set. */
  synchronized ConfigurationText next() {
    return new ConfigurationText(versions.getLast().configuration().version() + VERSION_STEP);
  }

  synchronized void write(ConfigurationText configuration) {
    versions.add(new Written(clock.now(), configuration));
    writeText(configuration.text());
  }

  /** Writes an earlier version once more: 0 for the newest one, 1 for the one before it. */
  synchronized void writeAgain(int versionsBack) {
    int index = Math.max(0, versions.size() - 1 - versionsBack);
    writeText(versions.get(index).configuration().text());
  }

  synchronized void writeUnreadable(String text) {
    writeText(text);
  }

  private void writeText(String text) {
    changes.add(clock.now());
    deployment.writeConfiguration(text);
  }

  /** Returns when something was written. */
  synchronized List<Long> changes() {
    return List.copyOf(changes);
  }

  /** Returns the shortest timeout of a kind that may be in force for a request. */
  long shortestTimeoutMs(Exchange exchange) {
    return inForce(exchange).stream()
        .mapToLong(configuration -> configuration.timeoutMs(exchange.kind()))
        .reduce(exchange.kind().timeoutMs(), Math::min);
  }

  /** Returns whether all configurations that may be in force allow all bodies of the play. */
  boolean allowsAllBodies(Exchange exchange) {
    return inForce(exchange).stream()
        .allMatch(configuration -> configuration.bodyBytes() >= RequestBody.NEAR_LIMIT_BYTES);
  }

  private synchronized List<ConfigurationText> inForce(Exchange exchange) {
    List<ConfigurationText> result = new ArrayList<>();
    for (int index = 0; index < versions.size(); index++) {
      boolean last = index == versions.size() - 1;
      long until = last ? Long.MAX_VALUE : versions.get(index + 1).time() + IN_FORCE_AFTER_MS;
      if (versions.get(index).time() <= exchange.read() && exchange.sent() <= until) {
        result.add(versions.get(index).configuration());
      }
    }
    return result;
  }

  /** Returns the longest timeout of a kind in any version. */
  synchronized long longestTimeoutMs(Kind kind) {
    return versions.stream()
        .mapToLong(written -> written.configuration().timeoutMs(kind))
        .max()
        .orElseThrow();
  }
}
