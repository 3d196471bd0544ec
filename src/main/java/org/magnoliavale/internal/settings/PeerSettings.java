package org.magnoliavale.internal.settings;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * The port for other instances.
 *
 * @param address where other instances connect
 * @param sharedKey key that all instances share
 * @param heartbeat time between heartbeats
 * @param silenceTimeout silence after which a link is replaced
 */
public record PeerSettings(
    InetSocketAddress address, String sharedKey, Duration heartbeat, Duration silenceTimeout) {}
