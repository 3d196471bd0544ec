package org.magnoliavale.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.directory.DirectoryEntry;

/**
 * Decodes successive texts of one row. Guards against an entry that says something else than its
 * row, because the row was taken for the last one with another count.
 */
class DirectoryEntryDecoderTest {
  private static final String ENTRY =
      "{\"service\":\"s\",\"address\":\"10.1.0.1:80\",\"zone\":\"a\",\"slots\":8,"
          + "\"state\":\"ready\",\"sequence\":4,\"born\":7,"
          + "\"models\":[{\"name\":\"m1\",\"adapters\":[\"a1\"]}],"
          + "\"at-hand\":{\"in-memory\":[\"m1\"],\"on-disk\":[\"m2\"]}}";

  private final DirectoryEntryDecoder decoder = new DirectoryEntryDecoder();

  private Optional<DirectoryEntry> decode(String text) {
    return decoder.decode("i-1", text.getBytes(StandardCharsets.UTF_8));
  }

  private static Optional<DirectoryEntry> decodeAlone(String text) {
    return StoreDirectorySource.decodeEntry("i-1", text.getBytes(StandardCharsets.UTF_8));
  }

  private void assertDecodedAsAlone(String... texts) {
    for (String text : texts) {
      assertThat(decode(text)).as(text).isEqualTo(decodeAlone(text));
    }
  }

  private static String withCount(String count) {
    return ENTRY.replace("\"sequence\":4", "\"sequence\":" + count);
  }

  @Nested
  class CountThatGoesOn {
    @Test
    void isTakenOver() {
      assertDecodedAsAlone(ENTRY, withCount("5"), withCount("999"), withCount("1000"));
      assertThat(decode(withCount("1001")).orElseThrow().heartbeat()).isEqualTo(1001);
    }

    @Test
    void keepsTheModelsOfTheLastRead() {
      DirectoryEntry first = decode(ENTRY).orElseThrow();
      assertThat(decode(withCount("5")).orElseThrow().models()).isSameAs(first.models());
    }

    @Test
    void mayBeAnyNumber() {
      assertDecodedAsAlone(
          ENTRY,
          withCount("0"),
          withCount("05"),
          withCount(""),
          withCount("-1"),
          withCount("6.5"),
          withCount("9223372036854775807"),
          withCount("9223372036854775808"),
          ENTRY);
    }
  }

  @Nested
  class OtherChange {
    @Test
    void isDecoded() {
      assertDecodedAsAlone(
          ENTRY,
          withCount("5").replace("m1", "m3"),
          withCount("6").replace("ready", "draining"),
          withCount("7").replace("\"born\":7", "\"born\":8"),
          withCount("8").replace("m2", "m22"),
          withCount("9") + " ");
    }

    @Test
    void thatIsNoEntryIsIgnoredOnce() {
      assertDecodedAsAlone(ENTRY, "", "{", withCount("5"), "null", withCount("6"));
    }
  }

  @Nested
  class CountThatIsNotCertain {
    @Test
    void ofAnotherObjectIsNotTaken() {
      String nested =
          ENTRY.replace("\"sequence\":4", "\"sequence\" : 4").replace("a1\"]", "a1\"],");
      String first = nested.replace("\"a1\"],", "\"a1\"],\"sequence\":4");
      assertDecodedAsAlone(first, first.replace("\"sequence\":4", "\"sequence\":5"));
    }

    @Test
    void inATextIsNotTaken() {
      String first = withCount("4").replace("\"zone\":\"a\"", "\"zone\":\"\\\"sequence\\\":4\"");
      assertDecodedAsAlone(first, first.replace("\\\":4", "\\\":5"));
    }
  }

  @Test
  void rowsThatAreGoneAreForgotten() {
    decode(ENTRY);
    decoder.retain(List.of());
    assertDecodedAsAlone(withCount("5"));
  }

  @Property(tries = 500, seed = "20261206")
  void successiveTextsAreDecodedAsEachAlone(@ForAll long seed) {
    Random random = new Random(seed);
    DirectoryEntryDecoder fresh = new DirectoryEntryDecoder();
    for (String text : randomTexts(random)) {
      byte[] value = text.getBytes(StandardCharsets.UTF_8);
      assertThat(fresh.decode("i-1", value)).as(text).isEqualTo(decodeAlone(text));
    }
  }

  /** Returns texts in which the count goes on and some character changes now and then. */
  private static List<String> randomTexts(Random random) {
    List<String> texts = new ArrayList<>();
    StringBuilder text = new StringBuilder(ENTRY);
    String digits = "0123456789\",:{}sequnc";
    for (int count = 4; count < 24; count++) {
      int start = text.indexOf("sequence\":") + "sequence\":".length();
      if (start >= "sequence\":".length() && random.nextInt(4) > 0) {
        text.replace(start, start + 1, Integer.toString(random.nextInt(120)));
      }
      if (random.nextInt(3) == 0) {
        int index = random.nextInt(text.length());
        text.setCharAt(index, digits.charAt(random.nextInt(digits.length())));
      }
      texts.add(text.toString());
      if (random.nextInt(3) == 0) {
        text = new StringBuilder(ENTRY);
      }
    }
    return texts;
  }
}
