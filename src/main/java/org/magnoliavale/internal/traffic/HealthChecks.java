package org.magnoliavale.internal.traffic;

import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.http.HttpResponses;

/** Answers the load balancer's liveness and readiness checks. Thread-safe. */
public final class HealthChecks {
  /** Path prefix of the health checks. */
  static final String PATH_PREFIX = "/health/";

  private final AtomicBoolean ready = new AtomicBoolean();

  /** Sets whether the instance accepts requests. */
  public void setReady(boolean value) {
    ready.set(value);
  }

  /** Returns whether the instance accepts requests. */
  public boolean isReady() {
    return ready.get();
  }

  void respond(String path, Response response, Callback callback) {
    switch (path) {
      case "/health/live" -> HttpResponses.json(response, callback, Map.of("live", true));
      case "/health/ready" -> {
        if (!ready.get()) {
          throw MagnoliavaleException.of(ErrorCode.STOPPING, "instance is not ready");
        }
        HttpResponses.json(response, callback, Map.of("ready", true));
      }
      default -> throw MagnoliavaleException.of(ErrorCode.NOT_FOUND, "no such path: " + path);
    }
  }
}
