package org.magnoliavale.internal.ini;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/** Validation and conversion of lists and addresses. */
public final class Values {
  private static final Pattern IPV4_ADDRESS =
      Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");
  private static final Pattern IPV6_ADDRESS = Pattern.compile("\\[[0-9a-fA-F:]+]:(\\d{1,5})");
  private static final int MAXIMUM_PORT = 65_535;

  private Values() {}

  /** Splits at commas, strips white space and drops empty elements. */
  public static List<String> split(String value) {
    return Arrays.stream(value.split(","))
        .map(String::strip)
        .filter(part -> !part.isEmpty())
        .toList();
  }

  /** Returns whether the text is {@code address:port} with a numeric address. */
  public static boolean isAddress(String value) {
    boolean numeric =
        IPV4_ADDRESS.matcher(value).matches() || IPV6_ADDRESS.matcher(value).matches();
    return numeric && portOf(value) <= MAXIMUM_PORT && hostOf(value).isPresent();
  }

  /** Parses {@code address:port}; the text must be valid. */
  public static InetSocketAddress address(String value) {
    return new InetSocketAddress(hostOf(value).orElseThrow(), portOf(value));
  }

  /** Parses the numeric address without looking up a name; empty if it is none. */
  private static Optional<InetAddress> hostOf(String value) {
    String host = value.substring(0, value.lastIndexOf(':'));
    try {
      return Optional.of(InetAddress.ofLiteral(host));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static int portOf(String value) {
    return Integer.parseInt(value.substring(value.lastIndexOf(':') + 1));
  }
}
