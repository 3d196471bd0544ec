/** Decides which model belongs on which endpoint. */
package org.magnoliavale.internal.placement;
