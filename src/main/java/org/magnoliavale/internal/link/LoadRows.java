package org.magnoliavale.internal.link;

import java.util.ArrayList;
import java.util.List;
import org.magnoliavale.internal.link.protocol.Heartbeat;

/**
 * The loads of endpoints in a heartbeat, one row an endpoint. Values are as they were sent; a row
 * that is cut short is dropped.
 */
public final class LoadRows {
  /** Most rows that are read from a heartbeat. */
  public static final int MAXIMUM_ROWS = 4_096;

  private static final int VALUES_PER_ROW = 5;
  private static final int AGE = 0;
  private static final int RUNNING = 1;
  private static final int WAITING = 2;
  private static final int SLOTS = 3;
  private static final int SLOWDOWN = 4;

  /**
   * The load of one endpoint.
   *
   * @param endpoint hash of the endpoint's identity
   * @param ageMs time since the endpoint reported it, in milliseconds
   * @param running running requests
   * @param waiting waiting requests
   * @param slots requests that the endpoint can run concurrently
   * @param slowdownPercent how long work takes on its machine, 100 as usual
   */
  public record Row(
      int endpoint, int ageMs, int running, int waiting, int slots, int slowdownPercent) {}

  private LoadRows() {}

  /** Adds a row. */
  public static void add(Heartbeat.Builder heartbeat, Row row) {
    heartbeat
        .addLoadEndpoints(row.endpoint())
        .addLoadValues(row.ageMs())
        .addLoadValues(row.running())
        .addLoadValues(row.waiting())
        .addLoadValues(row.slots())
        .addLoadValues(row.slowdownPercent());
  }

  /** Returns the rows of a heartbeat. */
  public static List<Row> of(Heartbeat heartbeat) {
    int complete =
        Math.min(
            heartbeat.getLoadEndpointsCount(), heartbeat.getLoadValuesCount() / VALUES_PER_ROW);
    int count = Math.min(complete, MAXIMUM_ROWS);
    List<Row> rows = new ArrayList<>(count);
    for (int index = 0; index < count; index++) {
      rows.add(row(heartbeat, index));
    }
    return rows;
  }

  private static Row row(Heartbeat heartbeat, int index) {
    int first = index * VALUES_PER_ROW;
    return new Row(
        heartbeat.getLoadEndpoints(index),
        heartbeat.getLoadValues(first + AGE),
        heartbeat.getLoadValues(first + RUNNING),
        heartbeat.getLoadValues(first + WAITING),
        heartbeat.getLoadValues(first + SLOTS),
        heartbeat.getLoadValues(first + SLOWDOWN));
  }

  /** Adds the age of a heartbeat to that of its rows; an age that is too high stays so. */
  static void addAge(Heartbeat.Builder heartbeat, long ageMs) {
    for (int index = AGE; index < heartbeat.getLoadValuesCount(); index += VALUES_PER_ROW) {
      long aged = Integer.toUnsignedLong(heartbeat.getLoadValues(index)) + ageMs;
      heartbeat.setLoadValues(index, (int) Math.min(aged, Integer.MAX_VALUE));
    }
  }

  /** Returns a heartbeat without its rows. */
  static Heartbeat without(Heartbeat heartbeat) {
    return heartbeat.getLoadEndpointsCount() == 0 && heartbeat.getLoadValuesCount() == 0
        ? heartbeat
        : heartbeat.toBuilder().clearLoadEndpoints().clearLoadValues().build();
  }
}
