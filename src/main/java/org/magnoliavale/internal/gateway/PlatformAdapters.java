package org.magnoliavale.internal.gateway;

import org.magnoliavale.internal.call.CallProtocol;
import org.magnoliavale.internal.directory.DirectorySource;
import org.magnoliavale.internal.http.JsonClient;
import org.magnoliavale.internal.metrics.UnexpectedFailures;
import org.magnoliavale.internal.platform.Table;
import org.magnoliavale.internal.residency.ControlStatementListener;
import org.magnoliavale.internal.residency.EndpointControl;
import org.magnoliavale.internal.route.ConfigurationSource;

/**
 * The platform adapters that an instance uses.
 *
 * @param table the fleet's own rows in the platform's store
 * @param streams rows that say where streams began
 * @param configuration source of the operator's configuration
 * @param directory source of the endpoint list
 * @param protocol request and response headers of callers and endpoints
 * @param control commands to endpoints and their reports
 */
public record PlatformAdapters(
    Table table,
    Table streams,
    ConfigurationSource configuration,
    DirectorySource directory,
    CallProtocol protocol,
    EndpointControl control) {
  /** Returns the same adapters with a control that passes on no exception. */
  PlatformAdapters containing(UnexpectedFailures failures) {
    return new PlatformAdapters(
        table,
        streams,
        configuration,
        directory,
        protocol,
        new ContainedEndpointControl(control, failures));
  }

  /** Creates the adapters of a platform. */
  public interface Factory {
    /**
     * Returns adapters for the platform at the settings' address.
     *
     * @param client client for short requests to the platform
     * @param listener receives what endpoints say of themselves in answers to the control
     */
    PlatformAdapters create(
        JsonClient client, GatewaySettings settings, ControlStatementListener listener);
  }
}
