package org.magnoliavale;

/** A component with a life cycle. A service is started once and stopped once. */
public interface Service {
  /** Starts the service and returns when it is ready for use. */
  void start();

  /** Stops the service: finishes work in progress and releases its resources. */
  void stop();
}
