/**
 * The settings file of an instance: schema, validation and typed values.
 *
 * <p>{@link org.magnoliavale.internal.settings.SettingsReader} turns a text into immutable {@link
 * org.magnoliavale.internal.settings.Settings}. The package starts no threads and performs no input
 * or output; it depends only on the INI and identifier packages.
 */
package org.magnoliavale.internal.settings;
