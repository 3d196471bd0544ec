/**
 * The users' platform: its names, formats and calls. Decides nothing.
 *
 * <p>Names on the wire that mislead are explained where they are decoded.
 */
package org.magnoliavale.platform;
