package org.magnoliavale;

import org.magnoliavale.internal.instance.Instance;

/**
 * One instance of the serving system, to be run inside any Java process.
 *
 * <pre>{@code
 * Magnoliavale instance =
 *     Magnoliavale.builder().settings("ub-east-1.ini", settingsText).build();
 * instance.start();
 * ...
 * instance.stop();
 * }</pre>
 *
 * <p>All methods are thread-safe. An instance is started once and stopped once.
 */
public final class Magnoliavale implements Service {
  private final Instance instance;

  Magnoliavale(Instance instance) {
    this.instance = instance;
  }

  /** Returns a builder that holds every option. */
  public static MagnoliavaleBuilder builder() {
    return new MagnoliavaleBuilder();
  }

  /** Opens all ports and joins the fleet. */
  @Override
  public void start() {
    instance.start();
  }

  /** Stops gracefully: fails readiness, finishes requests in flight, hands leases over. */
  @Override
  public void stop() {
    instance.stop();
  }

  /** Returns the port for callers; it differs from the settings when those name port 0. */
  public int callerPort() {
    return instance.callerPort();
  }

  /** Returns the port for operators; it differs from the settings when those name port 0. */
  public int operatorPort() {
    return instance.operatorPort();
  }
}
