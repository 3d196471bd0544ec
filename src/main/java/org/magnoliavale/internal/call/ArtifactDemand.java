package org.magnoliavale.internal.call;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.dispatch.Artifact;

/**
 * Demand for artifacts at this instance: request rates, and calls that wait for a load.
 * Thread-safe.
 *
 * <p>Rates are exponentially decaying averages, so that they follow demand within seconds.
 */
public final class ArtifactDemand {
  /** Time constant of the exponential decay, in seconds. */
  private static final double DECAY_TIME_S = 3;

  /** Rate below which an artifact's entry is removed, in requests per second. */
  private static final double NEGLIGIBLE_RATE = 0.005;

  private static final class Rate {
    private double perSecond;
    private long lastNanos;
    private boolean delayTolerant = true;

    double at(long nowNanos) {
      double seconds = (double) (nowNanos - lastNanos) / TimeUnit.SECONDS.toNanos(1);
      return perSecond * Math.exp(-seconds / DECAY_TIME_S);
    }
  }

  private final Map<Artifact, Rate> rates = new HashMap<>();
  private final Map<Artifact, Integer> waiting = new HashMap<>();
  private final Runnable waitingListener;

  /** Creates empty counts; the listener runs each time a call starts to wait. */
  public ArtifactDemand(Runnable waitingListener) {
    this.waitingListener = waitingListener;
  }

  /**
   * Records a request.
   *
   * @param delayTolerant whether the request can wait until the artifact is loaded
   */
  public synchronized void recordRequest(Artifact artifact, boolean delayTolerant, long nowNanos) {
    Rate rate = rates.computeIfAbsent(artifact, ignored -> new Rate());
    rate.perSecond = rate.at(nowNanos) + 1 / DECAY_TIME_S;
    rate.lastNanos = nowNanos;
    rate.delayTolerant &= delayTolerant;
  }

  /** Records that a call waits for an artifact, and runs the listener. */
  public void waitStarted(Artifact artifact) {
    synchronized (this) {
      waiting.merge(artifact, 1, Integer::sum);
    }
    waitingListener.run();
  }

  /** Records that a call stopped waiting for an artifact. */
  public synchronized void waitEnded(Artifact artifact) {
    waiting.computeIfPresent(artifact, (key, count) -> count == 1 ? null : count - 1);
  }

  /** Returns requests per second by artifact. */
  public synchronized Map<Artifact, Double> rates(long nowNanos) {
    rates.values().removeIf(rate -> rate.at(nowNanos) < NEGLIGIBLE_RATE);
    Map<Artifact, Double> result = new HashMap<>();
    rates.forEach((artifact, rate) -> result.put(artifact, rate.at(nowNanos)));
    return result;
  }

  /** Returns whether all recent requests for an artifact are delay-tolerant. */
  public synchronized boolean isDelayTolerant(Artifact artifact) {
    Rate rate = rates.get(artifact);
    return rate == null || rate.delayTolerant;
  }

  /** Returns the number of waiting calls by artifact. */
  public synchronized Map<Artifact, Integer> waiting() {
    return Map.copyOf(waiting);
  }
}
