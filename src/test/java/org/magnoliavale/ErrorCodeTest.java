package org.magnoliavale;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ErrorCodeTest {
  @ParameterizedTest
  @EnumSource
  void isListedInErrorReference(ErrorCode code) throws IOException {
    String row = "| `%s` | %d |".formatted(code.code(), code.httpStatus());
    assertThat(Files.readString(Path.of("docs/ERRORS.md"))).contains(row);
  }
}
