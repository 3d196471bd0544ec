package org.magnoliavale.internal.ini;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
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
    return numeric && portOf(value) <= MAXIMUM_PORT;
  }

  /** Parses {@code address:port}; the text must be valid. */
  public static InetSocketAddress address(String value) {
    int colon = value.lastIndexOf(':');
    return new InetSocketAddress(value.substring(0, colon), portOf(value));
  }

  private static int portOf(String value) {
    return Integer.parseInt(value.substring(value.lastIndexOf(':') + 1));
  }
}
