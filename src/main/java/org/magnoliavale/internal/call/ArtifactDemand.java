package org.magnoliavale.internal.call;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.dispatch.Artifact;

/**
 * Counts which artifacts calls ask for and wait for at this instance. Thread-safe.
 *
 * <p>The rate is an average that forgets exponentially, so it follows demand within seconds.
 */
public final class ArtifactDemand {
  /** Time in which a past request loses most of its weight, in seconds. */
  private static final double MEMORY_S = 3;

  private static final double NEGLIGIBLE_RATE = 0.005;

  private static final class Rate {
    private double perSecond;
    private long lastNanos;
    private boolean patient = true;

    double at(long nowNanos) {
      double seconds = (double) (nowNanos - lastNanos) / TimeUnit.SECONDS.toNanos(1);
      return perSecond * Math.exp(-seconds / MEMORY_S);
    }
  }

  private final Map<Artifact, Rate> rates = new HashMap<>();
  private final Map<Artifact, Integer> waiting = new HashMap<>();
  private final Runnable waitingListener;

  /** Returns empty counts; the listener runs whenever a call begins to wait. */
  public ArtifactDemand(Runnable waitingListener) {
    this.waitingListener = waitingListener;
  }

  /** Notes a request; a patient one can wait for a load. */
  public synchronized void asked(Artifact artifact, boolean patient, long nowNanos) {
    Rate rate = rates.computeIfAbsent(artifact, ignored -> new Rate());
    rate.perSecond = rate.at(nowNanos) + 1 / MEMORY_S;
    rate.lastNanos = nowNanos;
    rate.patient &= patient;
  }

  /** Notes that a call waits for an artifact. */
  public void waits(Artifact artifact) {
    synchronized (this) {
      waiting.merge(artifact, 1, Integer::sum);
    }
    waitingListener.run();
  }

  /** Notes that a call waits no more. */
  public synchronized void waitsNoMore(Artifact artifact) {
    waiting.computeIfPresent(artifact, (key, count) -> count == 1 ? null : count - 1);
  }

  /** Returns requests a second by artifact. */
  public synchronized Map<Artifact, Double> rates(long nowNanos) {
    rates.values().removeIf(rate -> rate.at(nowNanos) < NEGLIGIBLE_RATE);
    Map<Artifact, Double> result = new HashMap<>();
    rates.forEach((artifact, rate) -> result.put(artifact, rate.at(nowNanos)));
    return result;
  }

  /** Tells whether only patient calls have asked for an artifact lately. */
  public synchronized boolean isPatient(Artifact artifact) {
    Rate rate = rates.get(artifact);
    return rate == null || rate.patient;
  }

  /** Returns waiting calls by artifact. */
  public synchronized Map<Artifact, Integer> waiting() {
    return Map.copyOf(waiting);
  }
}
