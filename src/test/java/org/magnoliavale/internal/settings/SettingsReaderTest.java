package org.magnoliavale.internal.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.ini.ReferencePage;

class SettingsReaderTest {
  private static final String VALID =
      """
      [instance]
      id = entry-1
      data-centre = ub-east
      [caller]
      address = 127.0.0.1:7201
      idle-timeout-ms = 1500
      [operator]
      address = 127.0.0.1:7301
      [peer]
      address = 127.0.0.1:7401
      shared-key = sixteen characters
      [platform]
      address = 127.0.0.1:7000
      """;

  @Nested
  class ValidText {
    @Test
    void returnsTheGivenValues() {
      Settings settings = SettingsReader.read("a.ini", VALID);
      assertThat(settings.instance().id().value()).isEqualTo("entry-1");
      assertThat(settings.caller().address().getPort()).isEqualTo(7201);
      assertThat(settings.caller().idleTimeout()).isEqualTo(Duration.ofMillis(1500));
    }

    @Test
    void returnsDefaultsForMissingKeys() {
      Settings settings = SettingsReader.read("a.ini", VALID);
      assertThat(settings.engine().connectTimeout()).isEqualTo(Duration.ofSeconds(1));
      assertThat(settings.logLevel()).isEqualTo("info");
    }
  }

  @Nested
  class InvalidText {
    @Test
    void reportsAllFindingsWithTheirLocations() {
      String text =
          VALID.replace("7201", "99999").replace("[operator]", "[operator]\ncolour = blue");
      assertThat(SettingsReader.check("a.ini", text))
          .extracting(Object::toString)
          .containsExactlyInAnyOrder(
              "a.ini:5 [caller] address: expected a numeric address and port,"
                  + " but was '127.0.0.1:99999'",
              "a.ini:8 [operator] colour: unknown key");
    }

    @Test
    void reportsMissingKeys() {
      assertThat(SettingsReader.check("a.ini", ""))
          .extracting(Object::toString)
          .contains("a.ini:0 [instance] id: required key is missing");
    }

    @Test
    void reportsDuplicateSectionsAndKeys() {
      String text = VALID + "[caller]\naddress = 127.0.0.1:1\naddress = 127.0.0.1:2\n";
      assertThat(SettingsReader.check("a.ini", text))
          .extracting(Object::toString)
          .contains(
              "a.ini:14 [caller]: duplicate section", "a.ini:16 [caller] address: duplicate key");
    }

    @Test
    void isRejected() {
      assertThatThrownBy(() -> SettingsReader.read("a.ini", "[instance]\n"))
          .isInstanceOfSatisfying(
              MagnoliavaleException.class, e -> assertThat(e.findings()).isNotEmpty());
    }
  }

  @Test
  void referencePageMatchesTheSchema() throws IOException {
    String page =
        ReferencePage.of(
            "Settings", "Every key of an instance's settings file.", SettingsSchema.SCHEMA);
    assertThat(Files.readString(Path.of("docs/SETTINGS.md"))).isEqualTo(page);
  }
}
