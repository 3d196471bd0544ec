package org.magnoliavale.platform.standin;

/**
 * How much a {@link DeploymentStandIn} holds.
 *
 * @param plainWorkers workers of the plain service
 * @param engineWorkers workers of the engine service
 * @param models models of the engine service
 * @param otherRoutes routes besides those that calls are sent to
 */
public record DeploymentSize(int plainWorkers, int engineWorkers, int models, int otherRoutes) {
  /** A few of each. */
  public static final DeploymentSize SMALL = new DeploymentSize(2, 3, 6, 0);

  /** Checks that calls of each kind can be served. */
  public DeploymentSize {
    if (plainWorkers < 1 || engineWorkers < 1 || models < 1 || otherRoutes < 0) {
      throw new IllegalArgumentException("too few workers, models or routes");
    }
  }
}
