/**
 * The gateway instance: an instance on a platform that provides the endpoint list, the operator's
 * configuration and a transactional table.
 *
 * <p>{@link org.magnoliavale.internal.gateway.GatewayInstance} creates and connects all parts of an
 * instance and controls start, drain and stop. {@link
 * org.magnoliavale.internal.gateway.PlatformAdapters} holds the platform adapters that it uses,
 * {@link org.magnoliavale.internal.gateway.GatewaySettings} its settings.
 *
 * <p>Jetty's shared thread pool runs the handlers for callers, readiness checks and metrics, and
 * the events of attempts at endpoints; this code must not block. Polling of the configuration and
 * the directory, the lease and the periodic tick run on virtual threads, which may block on the
 * platform.
 *
 * <p>This package must not depend on {@code org.magnoliavale.platform}, which implements the
 * adapters.
 */
package org.magnoliavale.internal.gateway;
