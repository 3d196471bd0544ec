/**
 * The operator's configuration: routes, services, and the capacity of model engines.
 *
 * <p>{@link org.magnoliavale.internal.route.RouteTable} is one immutable version of it; a {@link
 * org.magnoliavale.internal.route.ConfigurationSource} supplies newer versions. The package starts
 * no threads and does not depend on the format or the transport of the configuration.
 */
package org.magnoliavale.internal.route;
