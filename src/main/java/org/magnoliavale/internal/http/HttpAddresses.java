package org.magnoliavale.internal.http;

import java.net.Inet6Address;
import java.net.InetSocketAddress;

/** Formats socket addresses. */
public final class HttpAddresses {
  private HttpAddresses() {}

  /** Returns {@code address:port}, with brackets around an IPv6 address. */
  public static String format(InetSocketAddress address) {
    String host = address.getAddress().getHostAddress();
    return address.getAddress() instanceof Inet6Address
        ? "[" + host + "]:" + address.getPort()
        : host + ":" + address.getPort();
  }

  /** Formats an address with the port that the system chose where the settings leave it open. */
  public static String format(InetSocketAddress address, int port) {
    return format(new InetSocketAddress(address.getAddress(), port));
  }
}
