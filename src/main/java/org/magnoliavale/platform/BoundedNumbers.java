package org.magnoliavale.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Reads numbers that other programs have written, within bounds: a number beyond a bound counts as
 * the bound, however long it is. What is no number is absent.
 */
final class BoundedNumbers {
  private static final Pattern WHOLE_NUMBER = Pattern.compile("[+-]?\\d+");

  private BoundedNumbers() {}

  /** Returns the whole number in a text; empty if the text is null or no whole number. */
  static Optional<Long> whole(String text, long minimum, long maximum) {
    if (text == null) {
      return Optional.empty();
    }
    String stripped = text.strip();
    if (!WHOLE_NUMBER.matcher(stripped).matches()) {
      return Optional.empty();
    }
    try {
      return Optional.of(Math.clamp(Long.parseLong(stripped), minimum, maximum));
    } catch (NumberFormatException e) {
      return Optional.of(stripped.startsWith("-") ? minimum : maximum);
    }
  }

  /** Returns the number in a node without its fraction, or {@code absent} if it holds none. */
  static int whole(JsonNode node, int minimum, int maximum, int absent) {
    return (int) decimal(node, minimum, maximum, absent);
  }

  /** Returns the number in a node, or {@code absent} if it holds none. */
  static double decimal(JsonNode node, double minimum, double maximum, double absent) {
    double value = node.asDouble(Double.NaN);
    return Double.isNaN(value) ? absent : Math.clamp(value, minimum, maximum);
  }
}
