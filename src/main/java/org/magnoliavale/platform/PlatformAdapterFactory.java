package org.magnoliavale.platform;

import java.time.Duration;
import org.magnoliavale.internal.gateway.GatewaySettings;
import org.magnoliavale.internal.gateway.PlatformAdapters;
import org.magnoliavale.internal.http.JsonClient;
import org.magnoliavale.internal.residency.ControlStatementListener;

/** Creates the adapters for the users' platform. */
public final class PlatformAdapterFactory {
  /** Environment variable with the path of the settings file. */
  public static final String SETTINGS_VARIABLE = "MAGNOLIAVALE_SETTINGS";

  /** Timeout of a store request. */
  private static final Duration STORE_TIMEOUT = Duration.ofMillis(700);

  /** Time for which the store holds a long poll for configuration changes. */
  private static final Duration CONFIGURATION_POLL_TIMEOUT = Duration.ofMillis(2_000);

  private static final String FLEET_TABLE = "magnoliavale";
  private static final String STREAMS_TABLE = "magnoliavale-streams";

  private static final Duration WORKER_TIMEOUT = Duration.ofMillis(300);

  private PlatformAdapterFactory() {}

  /** Returns the adapters for the platform whose store is at the settings' address. */
  public static PlatformAdapters create(
      JsonClient client, GatewaySettings settings, ControlStatementListener listener) {
    StoreClient store = new StoreClient(client, settings.storeAddress(), STORE_TIMEOUT);
    return new PlatformAdapters(
        new StoreTable(store, FLEET_TABLE),
        new StoreTable(store, STREAMS_TABLE),
        new StoreConfigurationSource(store, CONFIGURATION_POLL_TIMEOUT),
        new StoreDirectorySource(store),
        new WorkerProtocol(),
        new WorkerControl(client, WORKER_TIMEOUT, listener));
  }
}
