package org.magnoliavale.internal.control;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import org.magnoliavale.Service;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.engine.EngineClient;
import org.magnoliavale.internal.engine.EngineReport;
import org.magnoliavale.internal.identifier.EndpointId;
import org.magnoliavale.internal.routing.EndpointLoadRegistry;

/**
 * Polls the report of each endpoint at a fixed interval and passes it to routing and to the control
 * loop. Each endpoint has a virtual thread of its own, which ends when the endpoint leaves the
 * document or the poller stops. A failed poll is posted as {@link ControlEvent.ReportFailed}.
 */
public final class ReportPoller implements Service {
  private final EngineClient engines;
  private final EndpointLoadRegistry loads;
  private final ControlLoop control;
  private final InstantSource clock;
  private final Duration interval;
  private final Map<EndpointId, Thread> threads = new ConcurrentHashMap<>();
  private volatile Document document = Document.EMPTY;
  private volatile boolean stopped;

  /** Returns a poller without endpoints; see {@link #setDocument}. */
  public ReportPoller(
      EngineClient engines,
      EndpointLoadRegistry loads,
      ControlLoop control,
      InstantSource clock,
      Duration interval) {
    this.engines = engines;
    this.loads = loads;
    this.control = control;
    this.clock = clock;
    this.interval = interval;
  }

  @Override
  public void start() {
    // Polling starts with the first document.
  }

  @Override
  public void stop() {
    stopped = true;
    threads.values().forEach(Thread::interrupt);
  }

  /** Replaces the polled endpoints by those of a document. */
  public synchronized void setDocument(Document newDocument) {
    document = newDocument;
    Set<EndpointId> endpoints = newDocument.endpoints().keySet();
    for (EndpointId endpoint : endpoints) {
      threads.computeIfAbsent(
          endpoint, id -> Thread.ofVirtual().name("report-" + id).start(() -> pollLoop(id)));
    }
    threads.keySet().retainAll(endpoints);
  }

  private void pollLoop(EndpointId id) {
    try {
      // A random initial delay spreads the polls of many endpoints over the interval.
      Thread.sleep(ThreadLocalRandom.current().nextLong(interval.toMillis() + 1));
      while (!stopped) {
        Endpoint endpoint = document.endpoints().get(id);
        if (endpoint == null) {
          return;
        }
        poll(endpoint);
        Thread.sleep(interval);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void poll(Endpoint endpoint) {
    long requestedAtMs = clock.millis();
    Optional<EngineReport> report = engines.report(endpoint);
    if (report.isPresent()) {
      loads.get(endpoint.id()).recordReport(report.get());
      control.post(new ControlEvent.ReportReceived(endpoint.id(), report.get(), requestedAtMs));
    } else {
      control.post(new ControlEvent.ReportFailed(endpoint.id()));
    }
  }
}
