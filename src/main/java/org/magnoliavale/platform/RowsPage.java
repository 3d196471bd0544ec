package org.magnoliavale.platform;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.platform.Row;

/**
 * A page of rows in a response of the store. Decoded from tokens, without a tree, since every
 * instance reads pages of all endpoints about once a second.
 *
 * @param rows the rows in the order of the response
 * @param hasMore whether further rows follow on another page
 * @param newestVersion newest version of any row of the store; 0 if the response names none
 */
record RowsPage(List<StoreClient.StoredRow> rows, boolean hasMore, long newestVersion) {
  /** Copies the rows. */
  RowsPage {
    rows = List.copyOf(rows);
  }

  /**
   * Decodes a response. Fields that are missing or unknown are as absent.
   *
   * @throws IOException if it is not a single JSON value, or a row's value is no base64
   */
  static RowsPage decode(byte[] body) throws IOException {
    try (JsonParser parser = Json.MAPPER.createParser(body)) {
      RowsPage page = decodePage(parser);
      if (parser.nextToken() != null) {
        throw new IOException("text after the response");
      }
      return page;
    }
  }

  private static RowsPage decodePage(JsonParser parser) throws IOException {
    List<StoreClient.StoredRow> rows = new ArrayList<>();
    boolean hasMore = false;
    long newestVersion = 0;
    if (parser.nextToken() != JsonToken.START_OBJECT) {
      parser.skipChildren();
      return new RowsPage(rows, false, 0);
    }
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String field = parser.currentName();
      parser.nextToken();
      switch (field) {
        case "rows" -> decodeRows(parser, rows);
        case "has-more" -> hasMore = parser.getValueAsBoolean();
        // "schema-version" is a version of rows; it is not related to a schema.
        case "schema-version" -> newestVersion = parser.getValueAsLong();
        default -> {}
      }
      parser.skipChildren();
    }
    return new RowsPage(rows, hasMore, newestVersion);
  }

  private static void decodeRows(JsonParser parser, List<StoreClient.StoredRow> rows)
      throws IOException {
    if (parser.currentToken() != JsonToken.START_ARRAY) {
      return;
    }
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      rows.add(decodeRow(parser));
    }
  }

  private static StoreClient.StoredRow decodeRow(JsonParser parser) throws IOException {
    String key = "";
    String value = null;
    boolean deleted = false;
    long version = Row.ABSENT;
    if (parser.currentToken() != JsonToken.START_OBJECT) {
      parser.skipChildren();
      return new StoreClient.StoredRow(key, null, version);
    }
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String field = parser.currentName();
      parser.nextToken();
      switch (field) {
        case "key" -> key = parser.getValueAsString("");
        case "value" -> value = text(parser);
        case "tombstone" -> deleted = parser.getValueAsBoolean();
        case "schema-version" -> version = parser.getValueAsLong(Row.ABSENT);
        default -> {}
      }
      parser.skipChildren();
    }
    return new StoreClient.StoredRow(key, deleted ? null : decodeBase64(value), version);
  }

  /** Returns the text of a value; null if there is none. */
  private static String text(JsonParser parser) throws IOException {
    return parser.currentToken() == JsonToken.VALUE_NULL ? null : parser.getValueAsString("");
  }

  private static byte[] decodeBase64(String text) throws IOException {
    try {
      return text == null ? null : Base64.getDecoder().decode(text);
    } catch (IllegalArgumentException e) {
      throw new IOException("row value is not valid base64", e);
    }
  }
}
