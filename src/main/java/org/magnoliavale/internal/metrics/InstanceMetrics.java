package org.magnoliavale.internal.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * The metrics of one instance, and their export as JSON and in the Prometheus text format.
 * Thread-safe.
 */
public final class InstanceMetrics {
  private final MetricRegistry registry = new MetricRegistry();
  private final CollectorRegistry collectorRegistry = new CollectorRegistry();

  /** Holds the mapper, which only instances that serve JSON need. */
  private static final class JsonExport {
    private static final JsonMapper MAPPER =
        JsonMapper.builder()
            .addModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false))
            .build();
  }

  /** Creates metrics without entries. */
  public InstanceMetrics() {
    new DropwizardExports(registry).register(collectorRegistry);
  }

  /** Returns the registry, on which gauges are registered. */
  public MetricRegistry registry() {
    return registry;
  }

  /** Returns the counter with this name, creating it if absent. */
  public Counter counter(String name) {
    return registry.counter(name);
  }

  /** Returns the meter with this name, creating it if absent. */
  public Meter meter(String name) {
    return registry.meter(name);
  }

  /** Returns the timer with this name, creating it if absent. */
  public Timer timer(String name) {
    return registry.timer(name);
  }

  /** Returns all metrics as JSON. */
  public byte[] json() throws IOException {
    return JsonExport.MAPPER.writeValueAsBytes(registry);
  }

  /** Returns all metrics in the Prometheus text format, version 0.0.4. */
  public byte[] text() throws IOException {
    StringWriter output = new StringWriter();
    TextFormat.write004(output, collectorRegistry.metricFamilySamples());
    return output.toString().getBytes(StandardCharsets.UTF_8);
  }
}
