/** The settings file of an instance. */
package org.magnoliavale.internal.settings;
