package org.magnoliavale.platform;

import com.fasterxml.jackson.databind.JsonNode;
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
import java.util.List;
import org.magnoliavale.internal.http.JsonAnswer;
import org.magnoliavale.internal.http.JsonClient;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.platform.Condition;
import org.magnoliavale.internal.platform.Row;
import org.magnoliavale.internal.platform.Transaction;
import org.magnoliavale.internal.platform.Write;

/** Client of the platform's store; every method sends blocking requests with a time-out. */
final class StoreConnection {
  /** Result of a store request. */
  sealed interface Answer {
    /** The request succeeded; {@code newest} is the newest version of any row. */
    record Done(List<StoredRow> rows, long newest) implements Answer {}

    /** A condition of the transaction did not hold; {@code rows} are the current rows. */
    record ConditionFailed(List<StoredRow> rows) implements Answer {}

    /** The store no longer has the change history since the requested version. */
    record HistoryGone() implements Answer {}

    /** The request had no effect. */
    record Refused(String reason) implements Answer {}

    /** No valid response arrived; the request may have taken effect or may still do so. */
    record Lost(String reason) implements Answer {}
  }

  /** A row; {@code value} is null if the row was deleted. */
  record StoredRow(String key, byte[] value, long version) {}

  private static final int OK = 200;
  private static final int GONE = 410;
  private static final int PRECONDITION_FAILED = 412;

  private final JsonClient client;
  private final InetSocketAddress address;
  private final Duration timeout;

  StoreConnection(JsonClient client, InetSocketAddress address, Duration timeout) {
    this.client = client;
    this.address = address;
    this.timeout = timeout;
  }

  /** Reads all rows with keys from {@code from} on, page by page. */
  Answer readAll(String table, String from) {
    List<StoredRow> rows = new ArrayList<>();
    String next = from;
    while (true) {
      String path = "/-/rows-get?table=" + encode(table) + "&part=&from=" + encode(next);
      JsonAnswer reply = client.get(address, path, timeout);
      if (!(reply instanceof JsonAnswer.Answered(int status, byte[] body)) || status != OK) {
        return failure(reply);
      }
      try {
        JsonNode tree = Json.tree(body);
        rows.addAll(rows(tree));
        if (!tree.path("has-more").asBoolean() || rows.isEmpty()) {
          return new Answer.Done(rows, tree.path("schema-version").asLong());
        }
      } catch (IOException e) {
        return new Answer.Lost("malformed response");
      }
      // The smallest key after the last one in byte order.
      next = rows.getLast().key() + "\0";
    }
  }

  /** Long-polls for changes of a table after a version, for at most {@code wait}. */
  Answer feed(String table, long after, Duration wait) {
    String path =
        "/-/rows-feed?table=" + encode(table) + "&after=" + after + "&wait-ms=" + wait.toMillis();
    return read(client.get(address, path, timeout.plus(wait)));
  }

  /** Applies a transaction to one table atomically. */
  Answer apply(String table, Transaction transaction) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    // "expected-revision" holds the versions that the rows must have.
    ArrayNode conditions = body.putArray("expected-revision");
    for (Condition condition : transaction.conditions()) {
      conditions.add(rowName(table, condition.key()).put("schema-version", condition.version()));
    }
    ArrayNode writes = body.putArray("writes");
    ArrayNode removals = body.putArray("remove");
    for (Write write : transaction.writes()) {
      if (write.value() == null) {
        removals.add(rowName(table, write.key()));
      } else {
        byte[] value = write.value().getBytes(StandardCharsets.UTF_8);
        writes.add(
            rowName(table, write.key()).put("value", Base64.getEncoder().encodeToString(value)));
      }
    }
    return read(client.post(address, "/-/rows-tx", body, timeout));
  }

  private static ObjectNode rowName(String table, String key) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("table", table)
        .put("part", "")
        .put("key", key);
  }

  private static Answer read(JsonAnswer reply) {
    if (!(reply instanceof JsonAnswer.Answered(int status, byte[] body))) {
      return failure(reply);
    }
    try {
      return switch (status) {
        case OK -> {
          JsonNode tree = Json.tree(body);
          yield new Answer.Done(rows(tree), tree.path("schema-version").asLong());
        }
        case PRECONDITION_FAILED -> new Answer.ConditionFailed(rows(Json.tree(body)));
        case GONE -> new Answer.HistoryGone();
        default -> failure(reply);
      };
    } catch (IOException e) {
      return new Answer.Lost("malformed response");
    }
  }

  private static Answer failure(JsonAnswer reply) {
    return switch (reply) {
      case JsonAnswer.Answered(int status, byte[] ignored) ->
          new Answer.Refused("HTTP status " + status);
      case JsonAnswer.NotSent(String reason) -> new Answer.Refused(reason);
      case JsonAnswer.Lost(String reason) -> new Answer.Lost(reason);
    };
  }

  private static List<StoredRow> rows(JsonNode tree) throws IOException {
    List<StoredRow> rows = new ArrayList<>();
    for (JsonNode row : tree.path("rows")) {
      // "schema-version" is the row's version; it is not related to a schema.
      long version = row.path("schema-version").asLong(Row.ABSENT);
      boolean present = row.hasNonNull("value") && !row.path("tombstone").asBoolean();
      byte[] value = present ? decode(row.path("value").asText()) : null;
      rows.add(new StoredRow(row.path("key").asText(), value, version));
    }
    return rows;
  }

  private static byte[] decode(String base64) throws IOException {
    try {
      return Base64.getDecoder().decode(base64);
    } catch (IllegalArgumentException e) {
      throw new IOException("row value is not valid base64", e);
    }
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
