/**
 * Identifiers of the objects that the configuration names, such as models, endpoints and instances.
 *
 * <p>Each kind of identifier has its own type, so that the compiler rejects a mix-up. {@link
 * org.magnoliavale.internal.identifier.IdentifierRules} defines the syntax that they share; {@link
 * org.magnoliavale.internal.identifier.ArtifactId} combines a model, a version and an adapter. All
 * types are immutable records. The package depends on no other package of the program.
 */
package org.magnoliavale.internal.identifier;
