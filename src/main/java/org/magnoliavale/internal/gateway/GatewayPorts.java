package org.magnoliavale.internal.gateway;

import org.magnoliavale.internal.call.CallProtocol;
import org.magnoliavale.internal.directory.DirectorySource;
import org.magnoliavale.internal.platform.Table;
import org.magnoliavale.internal.residency.EndpointControl;
import org.magnoliavale.internal.route.ConfigurationSource;

/**
 * What a platform offers an instance.
 *
 * @param table rows of the system's own
 * @param configuration the operator's configuration
 * @param directory the list of endpoints
 * @param protocol headers of callers and endpoints
 * @param control orders to endpoints
 */
public record GatewayPorts(
    Table table,
    ConfigurationSource configuration,
    DirectorySource directory,
    CallProtocol protocol,
    EndpointControl control) {
  /** Makes the ports of a platform over a client for short calls. */
  public interface Factory {
    /** Returns ports to the platform at the settings' address. */
    GatewayPorts create(org.magnoliavale.internal.http.JsonClient client, GatewaySettings settings);
  }
}
