package org.magnoliavale.internal.settings;

import java.net.InetSocketAddress;

/**
 * Settings of the operator port.
 *
 * @param address listen address
 * @param administratorTokenHash hexadecimal SHA-256 hash of the administrator's token, or empty if
 *     there is none
 */
public record OperatorSettings(InetSocketAddress address, String administratorTokenHash) {}
