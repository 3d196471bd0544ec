package org.magnoliavale.internal.settings;

import java.net.InetSocketAddress;

/**
 * The port for operators.
 *
 * @param address where operators connect
 * @param administratorTokenHash hexadecimal SHA-256 of the administrator's token, or empty
 */
public record OperatorSettings(InetSocketAddress address, String administratorTokenHash) {}
