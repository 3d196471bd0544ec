package org.magnoliavale.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.magnoliavale.internal.http.JsonCallResult;
import org.magnoliavale.internal.http.JsonClient;
import org.magnoliavale.internal.platform.Condition;
import org.magnoliavale.internal.platform.Transaction;
import org.magnoliavale.internal.platform.Write;

/** Client of the platform's store; every method sends blocking requests with a timeout. */
final class StoreClient {
  /** Result of a store request. */
  sealed interface Result {
    /**
     * The request succeeded; {@code newestVersion} is the newest version of any row, {@code
     * generation} that of the store's contents, see {@link StoreGeneration}.
     */
    record Success(List<StoredRow> rows, long newestVersion, long generation) implements Result {}

    /** A condition of the transaction did not hold; {@code rows} are the current rows. */
    record ConditionFailed(List<StoredRow> rows) implements Result {}

    /** The store no longer has the change history since the requested version. */
    record HistoryUnavailable() implements Result {}

    /** The request had no effect. */
    record Unavailable(String reason) implements Result {}

    /** No valid response was received; the request may have taken effect or may still do so. */
    record OutcomeUnknown(String reason) implements Result {}
  }

  /** A row; {@code value} is null if the row was deleted. */
  record StoredRow(String key, byte[] value, long version) {}

  private static final int OK = 200;
  private static final int GONE = 410;
  private static final int PRECONDITION_FAILED = 412;

  private final JsonClient client;
  private final InetSocketAddress address;
  private final Duration timeout;
  private final StoreGeneration generation = new StoreGeneration();

  StoreClient(JsonClient client, InetSocketAddress address, Duration timeout) {
    this.client = client;
    this.address = address;
    this.timeout = timeout;
  }

  /** Returns the newest generation of the store's contents that an answer has named. */
  long generation() {
    return generation.newest();
  }

  /** Returns the smallest key after another one in byte order. */
  static String keyAfter(String key) {
    return key + "\0";
  }

  /** Reads all rows with keys from {@code from} on, page by page. */
  Result readAll(String table, String from) {
    return readRange(table, from, "");
  }

  /**
   * Reads all rows with keys from {@code from} on, page by page.
   *
   * @param to the first key that is not read; empty for none
   */
  Result readRange(String table, String from, String to) {
    String end = to.isEmpty() ? "" : "&to=" + encode(to);
    List<StoredRow> rows = new ArrayList<>();
    Set<String> starts = new HashSet<>();
    String next = from;
    while (starts.add(next)) {
      String path = "/-/rows-get?table=" + encode(table) + "&part=&from=" + encode(next) + end;
      JsonCallResult result = client.get(address, path, timeout);
      if (!(result instanceof JsonCallResult.Response(int status, var headers, byte[] body))
          || status != OK) {
        return toFailure(result);
      }
      long answered = generation.observe(headers);
      try {
        RowsPage page = RowsPage.decode(body);
        rows.addAll(page.rows());
        if (!page.hasMore() || rows.isEmpty()) {
          return new Result.Success(rows, page.newestVersion(), answered);
        }
      } catch (IOException e) {
        return new Result.OutcomeUnknown("malformed response");
      }
      next = keyAfter(rows.getLast().key());
    }
    return new Result.Unavailable("pages that do not go on");
  }

  /** Long-polls for changes of a table after a version, for at most {@code pollTimeout}. */
  Result awaitChanges(String table, long after, Duration pollTimeout) {
    String path =
        "/-/rows-feed?table="
            + encode(table)
            + "&after="
            + after
            + "&wait-ms="
            + pollTimeout.toMillis();
    return toResult(client.get(address, path, timeout.plus(pollTimeout)));
  }

  /** Applies a transaction to one table atomically. */
  Result apply(String table, Transaction transaction) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    // "expected-revision" holds the versions that the rows must have.
    ArrayNode conditions = body.putArray("expected-revision");
    for (Condition condition : transaction.conditions()) {
      conditions.add(
          rowReference(table, condition.key()).put("schema-version", condition.version()));
    }
    ArrayNode writes = body.putArray("writes");
    ArrayNode removals = body.putArray("remove");
    for (Write write : transaction.writes()) {
      if (write.value() == null) {
        removals.add(rowReference(table, write.key()));
      } else {
        byte[] value = write.value().getBytes(StandardCharsets.UTF_8);
        writes.add(
            rowReference(table, write.key())
                .put("value", Base64.getEncoder().encodeToString(value)));
      }
    }
    return toResult(client.post(address, "/-/rows-tx", body, timeout));
  }

  private static ObjectNode rowReference(String table, String key) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("table", table)
        .put("part", "")
        .put("key", key);
  }

  private Result toResult(JsonCallResult result) {
    if (!(result instanceof JsonCallResult.Response(int status, var headers, byte[] body))) {
      return toFailure(result);
    }
    long answered = generation.observe(headers);
    try {
      return switch (status) {
        case OK -> {
          RowsPage page = RowsPage.decode(body);
          yield new Result.Success(page.rows(), page.newestVersion(), answered);
        }
        case PRECONDITION_FAILED -> new Result.ConditionFailed(RowsPage.decode(body).rows());
        case GONE -> new Result.HistoryUnavailable();
        default -> toFailure(result);
      };
    } catch (IOException e) {
      return new Result.OutcomeUnknown("malformed response");
    }
  }

  private Result toFailure(JsonCallResult result) {
    return switch (result) {
      case JsonCallResult.Response(int status, var headers, byte[] ignored) -> {
        generation.observe(headers);
        yield new Result.Unavailable("HTTP status " + status);
      }
      case JsonCallResult.NotSent(String reason, boolean ignored) -> new Result.Unavailable(reason);
      case JsonCallResult.OutcomeUnknown(String reason) -> new Result.OutcomeUnknown(reason);
    };
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
