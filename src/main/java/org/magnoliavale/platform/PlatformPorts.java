package org.magnoliavale.platform;

import java.time.Duration;
import org.magnoliavale.internal.gateway.GatewayPorts;
import org.magnoliavale.internal.gateway.GatewaySettings;
import org.magnoliavale.internal.http.JsonClient;

/** Creates the adapters for the users' platform. */
public final class PlatformPorts {
  /** Environment variable with the path of the settings file. */
  public static final String SETTINGS_VARIABLE = "MAGNOLIAVALE_SETTINGS";

  /** Time-out of a store request. */
  private static final Duration STORE_TIMEOUT = Duration.ofMillis(700);

  /** Time for which the store holds a long poll for configuration changes. */
  private static final Duration CONFIGURATION_WAIT = Duration.ofMillis(2_000);

  private static final Duration WORKER_TIMEOUT = Duration.ofMillis(300);

  private PlatformPorts() {}

  /** Returns the adapters for the platform whose store is at the settings' address. */
  public static GatewayPorts create(JsonClient client, GatewaySettings settings) {
    StoreConnection store = new StoreConnection(client, settings.store(), STORE_TIMEOUT);
    return new GatewayPorts(
        new StoreTable(store),
        new OperatorConfiguration(store, CONFIGURATION_WAIT),
        new EndpointListing(store),
        new WorkerProtocol(),
        new WorkerControl(client, WORKER_TIMEOUT));
  }
}
