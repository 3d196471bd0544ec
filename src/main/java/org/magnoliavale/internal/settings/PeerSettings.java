package org.magnoliavale.internal.settings;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of the peer port.
 *
 * @param address listen address
 * @param sharedKey key shared by all instances of the fleet
 * @param heartbeatInterval interval between heartbeats
 * @param silenceTimeout time without received data after which a link is replaced
 */
public record PeerSettings(
    InetSocketAddress address,
    String sharedKey,
    Duration heartbeatInterval,
    Duration silenceTimeout) {}
