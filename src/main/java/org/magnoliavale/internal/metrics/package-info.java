/** Metrics of an instance and their forms on the operator port. */
package org.magnoliavale.internal.metrics;
