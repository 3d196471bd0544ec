package org.magnoliavale.internal.document;

import org.magnoliavale.internal.identifier.DataCentreId;

/**
 * A data centre of the configuration document.
 *
 * @param id the data centre's name
 * @param region the region it is in
 */
public record DataCentre(DataCentreId id, String region) {}
