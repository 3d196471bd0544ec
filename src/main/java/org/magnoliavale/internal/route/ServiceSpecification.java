package org.magnoliavale.internal.route;

import java.util.Optional;
import org.magnoliavale.internal.identifier.ServiceId;

/**
 * A service as the operator describes it.
 *
 * @param id its name
 * @param connectionLimit connections that one endpoint accepts from all instances together
 * @param engine what its endpoints can hold, if they run model engines
 */
public record ServiceSpecification(
    ServiceId id, int connectionLimit, Optional<EngineSpecification> engine) {}
