/** Decides which endpoint holds which model and adapter, and orders it. */
package org.magnoliavale.internal.residency;
