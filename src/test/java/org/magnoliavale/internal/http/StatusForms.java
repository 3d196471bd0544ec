package org.magnoliavale.internal.http;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** What a server may write where a response has its status. */
public final class StatusForms {
  private static final int INTERIM = 100;
  private static final int SWITCHING_PROTOCOLS = 101;
  private static final int FIRST_FINAL = 200;
  private static final int LAST_FINAL = 599;
  private static final int LAST = 1_000;

  private StatusForms() {}

  /** Returns whether a number is the status of a final response. */
  public static boolean isFinal(int status) {
    return status >= FIRST_FINAL && status <= LAST_FINAL;
  }

  /** Returns whether a number is the status of an interim response that a final one follows. */
  public static boolean isInterim(int status) {
    return status >= INTERIM && status < FIRST_FINAL && status != SWITCHING_PROTOCOLS;
  }

  /** Returns all statuses of final responses. */
  public static List<Integer> finalOnes() {
    return IntStream.rangeClosed(0, LAST).filter(StatusForms::isFinal).boxed().toList();
  }

  /** Returns all statuses of interim responses that a final one follows. */
  public static List<Integer> interimOnes() {
    return IntStream.rangeClosed(0, LAST).filter(StatusForms::isInterim).boxed().toList();
  }

  /** Returns all other numbers, with three digits at least, and texts that are no number. */
  public static List<String> others() {
    Stream<String> numbers =
        IntStream.rangeClosed(0, LAST)
            .filter(status -> !isFinal(status) && !isInterim(status))
            .mapToObj("%03d"::formatted);
    Stream<String> texts =
        Stream.of(
            "",
            "0",
            "1",
            "9",
            "00",
            "20",
            "99",
            "0000",
            "0200",
            "2000",
            "99999999999",
            "-1",
            "-200",
            "+200",
            "200x",
            "x200",
            "2OO",
            "20O",
            "2 0",
            "2.0",
            "200.0",
            "0x1F",
            "1e2",
            "OK",
            "-",
            "\t200",
            "200\t",
            "200,200");
    return Stream.concat(numbers, texts).toList();
  }
}
