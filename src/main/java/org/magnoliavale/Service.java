package org.magnoliavale;

/** A part with a life cycle. A service is started once and stopped once. */
public interface Service {
  /** Starts the service and returns when it is ready for use. */
  void start();

  /** Stops the service, lets work in progress finish, and releases what it holds. */
  void stop();
}
