package org.magnoliavale.internal.document;

import org.magnoliavale.internal.identifier.DataCentreId;

/**
 * A data centre.
 *
 * @param id its name
 * @param region the region it is in
 */
public record DataCentre(DataCentreId id, String region) {}
