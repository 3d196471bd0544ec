package org.magnoliavale.internal.call;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.magnoliavale.internal.directory.SoftwareVersion;
import org.magnoliavale.internal.identifier.ServiceId;

/** The origins of an instance that is restarted by a test. */
record StreamOriginsOf(Supplier<? extends StreamOrigins> current) implements StreamOrigins {
  @Override
  public Optional<SoftwareVersion> onlyBeginning(ServiceId service) {
    return current.get().onlyBeginning(service);
  }

  @Override
  public Recording begin(
      ServiceId service,
      String attemptId,
      SoftwareVersion version,
      Duration lifetime,
      Consumer<Boolean> onRecorded) {
    return current.get().begin(service, attemptId, version, lifetime, onRecorded);
  }

  @Override
  public void find(ServiceId service, String attemptId, Consumer<StreamOrigin> onFound) {
    current.get().find(service, attemptId, onFound);
  }
}
