package org.magnoliavale.internal.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.function.LongSupplier;

/**
 * Registers the metrics that are read from an instance's state.
 *
 * @param registry the instance's metrics
 */
record InstanceGauges(MetricRegistry registry) {
  /** Registers a number. */
  InstanceGauges number(String name, LongSupplier value) {
    registry.register(name, (Gauge<Long>) value::getAsLong);
    return this;
  }
}
