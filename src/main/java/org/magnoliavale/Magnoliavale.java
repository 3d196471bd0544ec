package org.magnoliavale;

import org.magnoliavale.internal.instance.Instance;

/**
 * An instance of the serving system, embeddable in any Java process.
 *
 * <pre>{@code
 * Magnoliavale instance =
 *     Magnoliavale.builder().settings("ub-east-1.ini", settingsText).build();
 * instance.start();
 * ...
 * instance.stop();
 * }</pre>
 *
 * <p>All methods are thread-safe. An instance is started once and stopped once; the ports are known
 * after {@link #start} has returned.
 */
public final class Magnoliavale implements Service {
  private final Instance instance;

  Magnoliavale(Instance instance) {
    this.instance = instance;
  }

  /** Returns a builder for an instance. */
  public static MagnoliavaleBuilder builder() {
    return new MagnoliavaleBuilder();
  }

  /** Opens all ports, joins the fleet, and returns once the ports are open. */
  @Override
  public void start() {
    instance.start();
  }

  /** Stops gracefully: fails readiness, hands over leases and finishes requests in progress. */
  @Override
  public void stop() {
    instance.stop();
  }

  /** Returns the bound port for callers; if the settings have port 0, it is an ephemeral port. */
  public int callerPort() {
    return instance.callerPort();
  }

  /** Returns the bound port for operators; an ephemeral port if the settings have port 0. */
  public int operatorPort() {
    return instance.operatorPort();
  }
}
