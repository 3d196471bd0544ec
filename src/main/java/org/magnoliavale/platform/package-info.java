/**
 * Adapters for the users' platform: its store, endpoint directory, configuration format, HTTP
 * headers and worker commands. {@link org.magnoliavale.platform.PlatformAdapterFactory} creates
 * them.
 *
 * <p>The package translates between the platform's formats and the interfaces of the internal
 * packages; it makes no routing or placement decisions and reads no clock. It has no threads of its
 * own: store and worker requests block the calling thread for a bounded time. Only the commands
 * that start a program may depend on this package.
 *
 * <p>Some names on the wire differ from their meaning; comments explain them where they are encoded
 * or decoded.
 */
package org.magnoliavale.platform;
