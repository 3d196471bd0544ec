package org.magnoliavale.internal.traffic;

import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.http.HttpResponses;

/** Tells the balancer whether this instance is alive and takes work. */
public final class Readiness {
  /** Path under which health is asked for. */
  static final String ROOT = "/health/";

  private final AtomicBoolean ready = new AtomicBoolean();

  /** Sets whether the instance takes work. */
  public void set(boolean value) {
    ready.set(value);
  }

  /** Tells whether the instance takes work. */
  public boolean isReady() {
    return ready.get();
  }

  void respond(String path, Response response, Callback callback) {
    switch (path) {
      case "/health/live" -> HttpResponses.json(response, callback, Map.of("live", true));
      case "/health/ready" -> {
        if (!ready.get()) {
          throw MagnoliavaleException.of(ErrorCode.STOPPING, "not ready");
        }
        HttpResponses.json(response, callback, Map.of("ready", true));
      }
      default -> throw MagnoliavaleException.of(ErrorCode.NOT_FOUND, "no such path: " + path);
    }
  }
}
