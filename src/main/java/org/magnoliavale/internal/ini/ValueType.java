package org.magnoliavale.internal.ini;

import java.util.List;
import java.util.regex.Pattern;
import org.magnoliavale.internal.identifier.IdentifierRules;

/** Type of a key's value. Validates values and describes the expected format. */
public sealed interface ValueType {
  /** A whole number in an inclusive range. */
  record WholeNumber(long minimum, long maximum) implements ValueType {}

  /** A decimal number in an inclusive range. */
  record Decimal(double minimum, double maximum) implements ValueType {}

  /** {@code true} or {@code false}. */
  record Flag() implements ValueType {}

  /** A valid identifier. */
  record Name() implements ValueType {}

  /** A comma-separated list of identifiers, possibly empty. */
  record Names() implements ValueType {}

  /** {@code address:port} with a numeric address. */
  record Address() implements ValueType {}

  /** A comma-separated list of addresses, possibly empty. */
  record Addresses() implements ValueType {}

  /** One of a fixed set of words. */
  record Choice(List<String> words) implements ValueType {}

  /** A text that matches a pattern. */
  record Text(String expectation, Pattern pattern) implements ValueType {}

  /** A value, or nothing, which stands for the key's default. */
  record OrDefault(ValueType type) implements ValueType {}

  /** Returns null if {@code value} is valid, otherwise an error message. */
  default String validationError(String value) {
    boolean valid =
        switch (this) {
          case WholeNumber(long minimum, long maximum) -> isWholeNumber(value, minimum, maximum);
          case Decimal(double minimum, double maximum) -> isDecimal(value, minimum, maximum);
          case Flag() -> value.equals("true") || value.equals("false");
          case Name() -> IdentifierRules.isValid(value);
          case Names() -> Values.split(value).stream().allMatch(IdentifierRules::isValid);
          case Address() -> Values.isAddress(value);
          case Addresses() -> Values.split(value).stream().allMatch(Values::isAddress);
          case Choice(List<String> words) -> words.contains(value);
          case Text(String ignored, Pattern pattern) -> pattern.matcher(value).matches();
          case OrDefault(ValueType type) -> value.isEmpty() || type.validationError(value) == null;
        };
    return valid ? null : "expected " + expectation() + ", but was '" + value + "'";
  }

  /** Describes the expected format, for findings and the reference page. */
  default String expectation() {
    return switch (this) {
      case WholeNumber(long minimum, long maximum) ->
          "a whole number from " + minimum + " to " + maximum;
      case Decimal(double minimum, double maximum) -> "a number from " + minimum + " to " + maximum;
      case Flag() -> "true or false";
      case Name() -> "a name";
      case Names() -> "names separated by commas";
      case Address() -> "a numeric address and port";
      case Addresses() -> "numeric addresses and ports separated by commas";
      case Choice(List<String> words) -> "one of " + String.join(", ", words);
      case Text(String expectation, Pattern ignored) -> expectation;
      case OrDefault(ValueType type) -> type.expectation() + ", or nothing for the default";
    };
  }

  private static boolean isWholeNumber(String value, long minimum, long maximum) {
    try {
      long number = Long.parseLong(value);
      return number >= minimum && number <= maximum;
    } catch (NumberFormatException e) {
      return false;
    }
  }

  private static boolean isDecimal(String value, double minimum, double maximum) {
    try {
      double number = Double.parseDouble(value);
      return number >= minimum && number <= maximum;
    } catch (NumberFormatException e) {
      return false;
    }
  }
}
