/** The one JSON mapper. */
package org.magnoliavale.internal.json;
