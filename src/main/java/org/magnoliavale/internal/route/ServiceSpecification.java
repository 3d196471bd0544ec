package org.magnoliavale.internal.route;

import java.util.Optional;
import org.magnoliavale.internal.identifier.ServiceId;

/**
 * A service in the configuration.
 *
 * @param id id of the service
 * @param connectionLimit connections that an endpoint accepts from all instances together
 * @param engine capacity of its endpoints, if they run model engines
 */
public record ServiceSpecification(
    ServiceId id, int connectionLimit, Optional<EngineSpecification> engine) {}
