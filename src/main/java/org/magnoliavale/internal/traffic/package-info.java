/** Carries callers' requests to endpoints and their answers back. */
package org.magnoliavale.internal.traffic;
