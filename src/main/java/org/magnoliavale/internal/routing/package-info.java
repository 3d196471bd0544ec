/** Decides which endpoint gets a request. */
package org.magnoliavale.internal.routing;
