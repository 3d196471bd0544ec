/** Stand-ins of outside systems, for demos and tests only. */
package org.magnoliavale.internal.standin;
