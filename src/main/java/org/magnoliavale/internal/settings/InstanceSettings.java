package org.magnoliavale.internal.settings;

import org.magnoliavale.internal.identifier.DataCentreId;
import org.magnoliavale.internal.identifier.InstanceId;

/**
 * Identity of the instance.
 *
 * @param id the instance's name
 * @param dataCentre the data centre it runs in
 */
public record InstanceSettings(InstanceId id, DataCentreId dataCentre) {}
