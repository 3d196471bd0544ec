package org.magnoliavale.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.DirectoryReadResult;

/**
 * Reads the directory from a store into which another program has written. Guards against one odd
 * entry that ends the process, or because of which the list is no longer followed.
 */
class StoreDirectorySourceTest extends StoreFixture {
  private StoreDirectorySource directory;

  @BeforeEach
  void createDirectory() {
    directory = new StoreDirectorySource(client);
  }

  private void write(String id, String text) {
    store.write("servers", id, text.getBytes(StandardCharsets.UTF_8));
  }

  private static String entry(String key, String value) {
    String entry =
        "{\"service\":\"s\",\"address\":\"10.1.0.1:80\",\"zone\":\"a\",\"version\":\"v1\","
            + "\"slots\":8,\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":4,\"born\":7,"
            + "\"models\":[]}";
    return entry.replaceFirst("\"" + key + "\":(\"[^\"]*\"|\\d+|\\[])", "\"" + key + "\":" + value);
  }

  private List<String> read() {
    DirectoryReadResult result = directory.read();
    assertThat(result).isInstanceOf(DirectoryReadResult.Entries.class);
    return ((DirectoryReadResult.Entries) result)
        .entries().stream().map(DirectoryEntry::identity).map(Object::toString).toList();
  }

  @Nested
  class OddEntry {
    private void assertIgnored(String odd) {
      write("a", entry("slots", "8"));
      write("odd", odd);
      write("z", entry("slots", "9"));
      assertThat(read()).containsExactly("a@7", "z@7");
      write("zz", entry("slots", "9"));
      assertThat(read()).containsExactly("a@7", "z@7", "zz@7");
    }

    @Test
    void thatIsDeeplyNestedIsIgnored() {
      assertIgnored("[".repeat(20_000) + "]".repeat(20_000));
    }

    @Test
    void withADeeplyNestedFieldIsIgnored() {
      assertIgnored(entry("models", "[".repeat(20_000) + "]".repeat(20_000)));
    }

    @Test
    void withANumberOfManyDigitsIsIgnored() {
      assertIgnored(entry("sequence", "9".repeat(4_000)));
    }

    @ParameterizedTest
    @ValueSource(
        strings = {"", "null", "3", "\"text\"", "[]", "{", "{}", "\u0000", "{\"service\":\"s\"}"})
    void thatIsNoEntryIsIgnored(String text) {
      assertIgnored(text);
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          "\"10.1.0.1:99999\"",
          "\"10.1.0.1:0\"",
          "\"10.1.0.999:80\"",
          "\"[::::]:80\"",
          "\"host.example:80\"",
          "\"10.1.0.1\"",
          "80"
        })
    void withAnAddressThatIsNoneIsIgnored(String address) {
      assertIgnored(entry("address", address));
    }

    @ParameterizedTest
    @ValueSource(strings = {"9223372036854775808", "1e400", "-1", "4.5", "\"4\"", "null", "{}"})
    void withASequenceThatIsNoneIsIgnored(String sequence) {
      assertIgnored(entry("sequence", sequence));
    }

    @ParameterizedTest
    @ValueSource(strings = {"4294967297", "0", "-3", "\"8\"", "null", "[]"})
    void withSlotsThatAreNoneIsIgnored(String slots) {
      assertIgnored(entry("slots", slots));
    }

    @ParameterizedTest
    @ValueSource(strings = {"99999999999999999999", "-1", "\"x\"", "1.5"})
    void withAStartTimeThatIsNoneIsIgnored(String born) {
      assertIgnored(entry("born", born));
    }

    @ParameterizedTest
    @ValueSource(strings = {"7", "null", "{}", "[\"v1\"]"})
    void withASoftwareVersionThatIsNoTextIsIgnored(String version) {
      assertIgnored(entry("version", version));
    }

    @ParameterizedTest
    @ValueSource(strings = {"\"resting\"", "7", "null"})
    void withAnUnknownStateIsIgnored(String state) {
      assertIgnored(entry("state", state));
    }
  }
}
