package org.magnoliavale.internal.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;

/** The one JSON mapper of the program. */
public final class Json {
  /** Shared mapper; unknown fields are ignored so that versions can run side by side. */
  public static final JsonMapper MAPPER =
      JsonMapper.builder()
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private Json() {}

  /** Returns the UTF-8 JSON of a value that is known to be serializable. */
  public static byte[] bytes(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("not serializable: " + value.getClass(), e);
    }
  }

  /** Returns the JSON text of a value that is known to be serializable. */
  public static String text(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("not serializable: " + value.getClass(), e);
    }
  }

  /** Reads a value; fails with {@link IOException} on any other content. */
  public static <T> T read(byte[] bytes, Class<T> type) throws IOException {
    T value = MAPPER.readValue(bytes, type);
    if (value == null) {
      throw new IOException("expected " + type.getSimpleName() + ", but was null");
    }
    return value;
  }

  /** Reads a value from text; fails with {@link IOException} on any other content. */
  public static <T> T read(String text, Class<T> type) throws IOException {
    T value = MAPPER.readValue(text, type);
    if (value == null) {
      throw new IOException("expected " + type.getSimpleName() + ", but was null");
    }
    return value;
  }

  /** Reads a tree; fails with {@link IOException} on anything that is not one JSON value. */
  public static JsonNode tree(byte[] bytes) throws IOException {
    return MAPPER.readTree(bytes);
  }
}
