/** Carries calls of any route to endpoints and their answers back. */
package org.magnoliavale.internal.call;
