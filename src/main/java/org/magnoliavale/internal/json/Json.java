package org.magnoliavale.internal.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;

/** The JSON mapper that all packages share, and methods that read and write with it. */
public final class Json {
  /** Ignores unknown fields, so that instances of different versions can interoperate. */
  public static final JsonMapper MAPPER =
      JsonMapper.builder()
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private Json() {}

  /**
   * Serializes a value to UTF-8 JSON.
   *
   * @throws IllegalArgumentException if the value is not serializable
   */
  public static byte[] bytes(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("not serializable as JSON: " + value.getClass(), e);
    }
  }

  /**
   * Serializes a value to JSON text.
   *
   * @throws IllegalArgumentException if the value is not serializable
   */
  public static String text(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("not serializable as JSON: " + value.getClass(), e);
    }
  }

  /**
   * Deserializes a value from JSON bytes.
   *
   * @throws IOException if the content is null or not a single JSON value of this type
   */
  public static <T> T read(byte[] bytes, Class<T> type) throws IOException {
    T value = MAPPER.readValue(bytes, type);
    if (value == null) {
      throw new IOException("expected " + type.getSimpleName() + ", but was null");
    }
    return value;
  }

  /**
   * Deserializes a value from JSON text.
   *
   * @throws IOException if the content is null or not a single JSON value of this type
   */
  public static <T> T read(String text, Class<T> type) throws IOException {
    T value = MAPPER.readValue(text, type);
    if (value == null) {
      throw new IOException("expected " + type.getSimpleName() + ", but was null");
    }
    return value;
  }

  /**
   * Parses JSON bytes to a tree.
   *
   * @throws IOException if the content is not a single JSON value
   */
  public static JsonNode tree(byte[] bytes) throws IOException {
    return MAPPER.readTree(bytes);
  }
}
