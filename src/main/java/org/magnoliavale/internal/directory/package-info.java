/** The endpoints that are there, as the platform lists them. */
package org.magnoliavale.internal.directory;
