/** Leases in the platform's table. */
package org.magnoliavale.internal.lease;
