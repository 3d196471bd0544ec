package org.magnoliavale.internal.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.function.LongSupplier;
import org.magnoliavale.internal.call.CallRegistry;
import org.magnoliavale.internal.link.PeerLinks;

/**
 * Registers the metrics that are read from an instance's state.
 *
 * @param registry the instance's metrics
 */
record InstanceGauges(MetricRegistry registry) {
  /** Registers what an instance itself is asked for. */
  void ofInstance(
      CallRegistry calls,
      GatewayHandler callers,
      LongSupplier instances,
      PeerLinks links,
      ConfigurationReads configuration) {
    number("calls_in_progress", calls::size);
    number("calls_waiting", calls::waiting);
    number("requests_in_progress", callers::requestsInProgress);
    number("instances", instances);
    number("link_bytes_sent", links::bytesSent);
    number("configuration_version", configuration::version);
  }

  /** Registers a number. */
  InstanceGauges number(String name, LongSupplier value) {
    registry.register(name, (Gauge<Long>) value::getAsLong);
    return this;
  }
}
