/**
 * The interfaces to the platform's transactional table and instance list, and their HTTP client.
 *
 * <p>{@link org.magnoliavale.internal.platform.Table} executes transactions and reads; each call
 * returns a {@link org.magnoliavale.internal.platform.TableResult}, which distinguishes a call
 * without effect from one whose outcome is unknown. {@link
 * org.magnoliavale.internal.platform.InstanceList} lists the instances. {@link
 * org.magnoliavale.internal.platform.HttpPlatform} implements both over HTTP, and {@link
 * org.magnoliavale.internal.platform.RateLimitedTable} limits the rate of calls.
 *
 * <p>The package has no threads of its own; calls block the caller's thread for a bounded time. It
 * must not depend on {@code org.magnoliavale.platform}.
 */
package org.magnoliavale.internal.platform;
