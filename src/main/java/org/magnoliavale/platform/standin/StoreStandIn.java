package org.magnoliavale.platform.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.magnoliavale.Service;
import org.magnoliavale.internal.http.BlockingHandler;
import org.magnoliavale.internal.http.HttpResponses;
import org.magnoliavale.internal.http.HttpServers;
import org.magnoliavale.internal.http.RequestBodies;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.logging.Logs;

/**
 * In-memory stand-in for the platform's store: rows in tables, conditional transactions, ranges and
 * a feed of changes. It keeps the whole history, can come back from a copy, and ignores parts,
 * limits and objects. Thread-safe.
 */
public final class StoreStandIn implements Service {
  private record RowId(String table, String key) implements Comparable<RowId> {
    private static final Comparator<RowId> ORDER =
        Comparator.comparing(RowId::table).thenComparing(RowId::key);

    @Override
    public int compareTo(RowId other) {
      return ORDER.compare(this, other);
    }
  }

  /** A row; {@code value} is base64 text, or null if the row was deleted. */
  private record Row(String value, long version) {}

  private final class Handler extends BlockingHandler {
    Handler() {
      super(Logs.of("store-stand-in"));
    }

    @Override
    protected void respond(Request request, Response response, Callback callback) throws Exception {
      calls.incrementAndGet();
      Fields query = Request.extractQueryParameters(request);
      switch (Request.getPathInContext(request)) {
        case "/-/rows-get" ->
            send(
                response,
                callback,
                readRange(
                    query.getValue("table"), valueOr(query, "from", ""), valueOr(query, "to", "")));
        case "/-/rows-feed" ->
            send(
                response,
                callback,
                awaitChanges(
                    query.getValue("table"),
                    Long.parseLong(query.getValue("after")),
                    Long.parseLong(valueOr(query, "wait-ms", "0"))));
        case "/-/rows-tx" -> {
          JsonNode transaction = Json.tree(RequestBodies.read(request, MAXIMUM_BODY_BYTES));
          send(response, callback, apply(transaction));
        }
        default ->
            HttpResponses.write(
                response, callback, HttpStatus.NOT_FOUND_404, "text/plain", new byte[0]);
      }
    }

    private void send(Response response, Callback callback, Answer answer) {
      response.getHeaders().put(ERA, answer.era());
      HttpResponses.write(
          response, callback, answer.status(), "application/json", Json.bytes(answer.body()));
    }
  }

  private record Answer(int status, ObjectNode body, long era) {}

  /** The contents of a store at one moment. */
  public static final class Copy {
    private final TreeMap<RowId, Row> rows;
    private final long newestVersion;

    private Copy(TreeMap<RowId, Row> rows, long newestVersion) {
      this.rows = new TreeMap<>(rows);
      this.newestVersion = newestVersion;
    }
  }

  private static final String ERA = "Store-Era";
  private static final long FEED_CHECK_INTERVAL_MS = 50;
  private static final int MAXIMUM_BODY_BYTES = 1 << 20;
  private static final int MAXIMUM_HEADER_BYTES = 16_384;
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

  private final TreeMap<RowId, Row> rows = new TreeMap<>();
  private final AtomicLong calls = new AtomicLong();
  private final Server server;
  private long newestVersion;
  private long era = 1;
  private volatile int port;

  /** Returns a store that will listen on {@code address}; it is empty and not started. */
  public StoreStandIn(InetSocketAddress address) {
    server =
        HttpServers.create(
            "store-stand-in", address, MAXIMUM_HEADER_BYTES, IDLE_TIMEOUT, new Handler());
  }

  @Override
  public void start() {
    port = HttpServers.start(server);
  }

  /** Returns the port on which the store listens once it is started. */
  public int port() {
    return port;
  }

  @Override
  public void stop() {
    HttpServers.stop(server);
  }

  /** Returns the number of calls received so far. */
  public long calls() {
    return calls.get();
  }

  /** Writes a row, as the operator or a worker does. */
  public synchronized void write(String table, String key, byte[] value) {
    newestVersion++;
    put(table, key, Base64.getEncoder().encodeToString(value));
    notifyAll();
  }

  /** Returns a copy of the contents. */
  public synchronized Copy copy() {
    return new Copy(rows, newestVersion);
  }

  /** Comes back from a copy: what was written since is gone, and versions are given out again. */
  public synchronized void restore(Copy copy) {
    rows.clear();
    rows.putAll(copy.rows);
    newestVersion = copy.newestVersion;
    era++;
    notifyAll();
  }

  private void put(String table, String key, String value) {
    rows.put(new RowId(table, key), new Row(value, newestVersion));
  }

  private synchronized Answer readRange(String table, String from, String to) {
    List<ObjectNode> found = new ArrayList<>();
    rows.tailMap(new RowId(table, from))
        .forEach(
            (id, row) -> {
              boolean inRange = to.isEmpty() || id.key().compareTo(to) < 0;
              if (id.table().equals(table) && inRange && row.value() != null) {
                found.add(toJson(id, row));
              }
            });
    return rowsAnswer(found);
  }

  private synchronized Answer awaitChanges(String table, long after, long waitMs)
      throws InterruptedException {
    if (after > newestVersion) {
      return answer(HttpStatus.GONE_410, List.of());
    }
    List<ObjectNode> changed = changesAfter(table, after);
    long waitedMs = 0;
    while (changed.isEmpty() && waitedMs < waitMs) {
      wait(FEED_CHECK_INTERVAL_MS);
      waitedMs += FEED_CHECK_INTERVAL_MS;
      changed = changesAfter(table, after);
    }
    return rowsAnswer(changed);
  }

  private List<ObjectNode> changesAfter(String table, long after) {
    return rows.entrySet().stream()
        .filter(entry -> entry.getKey().table().equals(table))
        .filter(entry -> entry.getValue().version() > after)
        .sorted(Comparator.comparingLong(entry -> entry.getValue().version()))
        .map(entry -> toJson(entry.getKey(), entry.getValue()))
        .toList();
  }

  private synchronized Answer apply(JsonNode transaction) {
    List<ObjectNode> differing = new ArrayList<>();
    for (JsonNode condition : transaction.path("expected-revision")) {
      RowId id = rowId(condition);
      Row row = rows.get(id);
      long version = row == null || row.value() == null ? 0 : row.version();
      if (version != condition.path("schema-version").asLong()) {
        differing.add(toJson(id, new Row(row == null ? null : row.value(), version)));
      }
    }
    if (!differing.isEmpty()) {
      return answer(HttpStatus.PRECONDITION_FAILED_412, differing);
    }
    newestVersion++;
    for (JsonNode write : transaction.path("writes")) {
      put(write.path("table").asText(), write.path("key").asText(), write.path("value").asText());
    }
    for (JsonNode removal : transaction.path("remove")) {
      rows.put(rowId(removal), new Row(null, newestVersion));
    }
    notifyAll();
    return rowsAnswer(List.of());
  }

  private Answer rowsAnswer(List<ObjectNode> found) {
    return answer(HttpStatus.OK_200, found);
  }

  private Answer answer(int status, List<ObjectNode> found) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    ArrayNode list = body.putArray("rows");
    found.forEach(list::add);
    body.put("has-more", false);
    body.put("schema-version", newestVersion);
    return new Answer(status, body, era);
  }

  private static ObjectNode toJson(RowId id, Row row) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("table", id.table());
    node.put("part", "");
    node.put("key", id.key());
    node.put("schema-version", row.version());
    if (row.value() == null) {
      node.put("tombstone", true);
    } else {
      node.put("value", row.value());
    }
    return node;
  }

  private static RowId rowId(JsonNode reference) {
    return new RowId(reference.path("table").asText(), reference.path("key").asText());
  }

  private static String valueOr(Fields query, String name, String fallback) {
    String value = query.getValue(name);
    return value == null ? fallback : value;
  }
}
