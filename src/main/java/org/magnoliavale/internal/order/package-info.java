/** Calls that may not be repeated: claims in the platform's table, and their three outcomes. */
package org.magnoliavale.internal.order;
