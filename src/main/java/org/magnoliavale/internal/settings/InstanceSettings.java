package org.magnoliavale.internal.settings;

import org.magnoliavale.internal.identifier.DataCentreId;
import org.magnoliavale.internal.identifier.InstanceId;

/**
 * The instance itself.
 *
 * @param id the instance's name
 * @param dataCentre where it runs
 */
public record InstanceSettings(InstanceId id, DataCentreId dataCentre) {}
