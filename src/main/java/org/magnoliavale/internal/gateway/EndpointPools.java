package org.magnoliavale.internal.gateway;

import com.codahale.metrics.Histogram;
import java.util.Random;
import java.util.function.IntSupplier;
import org.magnoliavale.internal.directory.EndpointDepartures;
import org.magnoliavale.internal.dispatch.EndpointPool;
import org.magnoliavale.internal.limit.EndpointLimits;
import org.magnoliavale.internal.metrics.InstanceMetrics;

/** Creates the endpoint pool of an instance. */
final class EndpointPools {
  /** By how many milliseconds the forecasts of first events were wrong, either way. */
  private static final String FORECAST_ERROR = "first_event_forecast_error_ms";

  private EndpointPools() {}

  static EndpointPool create(
      GatewaySettings settings,
      IntSupplier instances,
      EndpointDepartures departures,
      EndpointLimits limits,
      ConfigurationReads configuration,
      InstanceMetrics metrics) {
    Histogram errors = metrics.registry().histogram(FORECAST_ERROR);
    return new EndpointPool(
        settings.dataCentre(),
        instances,
        departures,
        limits,
        new Random(),
        configuration::engine,
        milliseconds -> errors.update((long) milliseconds));
  }
}
