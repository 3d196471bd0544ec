/** Checked INI texts: schema, findings with their places, and reference pages. */
package org.magnoliavale.internal.ini;
