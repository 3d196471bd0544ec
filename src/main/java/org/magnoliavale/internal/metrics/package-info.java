/**
 * Registration and export of the metrics of an instance.
 *
 * <p>{@link org.magnoliavale.internal.metrics.InstanceMetrics} wraps a Dropwizard registry. The
 * package starts no threads and depends on no other package of the program.
 */
package org.magnoliavale.internal.metrics;
