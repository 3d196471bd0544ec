package org.magnoliavale.internal.ini;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.Finding;

class IniTextTest {
  private final List<Finding> findings = new ArrayList<>();

  private IniText parse(String text) {
    return IniText.parse("a.ini", text, findings);
  }

  private List<IniEntry> entries(String lines) {
    return parse("[s]\n" + lines).sections().getFirst().entries();
  }

  @Nested
  class Sections {
    @Test
    void haveKindNameAndLine() {
      IniText text = parse("\n[Pool  east one]\na = 1\n\n[ instance ]\n");
      assertThat(text.sections())
          .containsExactly(
              new IniSection("pool", "east one", 2, List.of(new IniEntry("a", "1", 3))),
              new IniSection("instance", "", 5, List.of()));
      assertThat(findings).isEmpty();
    }

    @Test
    void withTheSameHeadingAreKeptApart() {
      IniText text = parse("[a]\nx = 1\n[b]\n[a]\nx = 2\n");
      assertThat(text.sections())
          .containsExactly(
              new IniSection("a", "", 1, List.of(new IniEntry("x", "1", 2))),
              new IniSection("b", "", 3, List.of()),
              new IniSection("a", "", 4, List.of(new IniEntry("x", "2", 5))));
    }

    @Test
    void areNoneInAnEmptyText() {
      assertThat(parse("").sections()).isEmpty();
      assertThat(findings).isEmpty();
    }
  }

  @Nested
  class Entries {
    @Test
    void endTheKeyAtTheFirstOperator() {
      assertThat(entries("a = b=c\nd: e = f\nlist=1, 2 ; 3\n"))
          .containsExactly(
              new IniEntry("a", "b=c", 2),
              new IniEntry("d", "e = f", 3),
              new IniEntry("list", "1, 2 ; 3", 4));
    }

    @Test
    void mayBeEmpty() {
      assertThat(entries("a =\nflag\n"))
          .containsExactly(new IniEntry("a", "", 2), new IniEntry("flag", "", 3));
    }

    @Test
    void areKeptIfAKeyIsRepeated() {
      assertThat(entries("a = 1\na = 2\n"))
          .containsExactly(new IniEntry("a", "1", 2), new IniEntry("a", "2", 3));
    }

    @Test
    void areTakenAsWrittenWithoutEscapes() {
      assertThat(entries("path = C:\\new\\\nquoted = \"x\"\n"))
          .containsExactly(
              new IniEntry("path", "C:\\new\\", 2), new IniEntry("quoted", "\"x\"", 3));
    }

    @Test
    void areNotMadeByCommentsAndBlankLines() {
      assertThat(entries("; a = 1\n  # b = 2\n\n \t \r\nc = 3\r\n"))
          .containsExactly(new IniEntry("c", "3", 6));
    }
  }

  @Nested
  class MalformedText {
    @ParameterizedTest
    @ValueSource(strings = {"a = 1\n", "[s\na = 1\n", "[]\n", "[s]\n= 1\n"})
    void yieldsAFindingAndNoSections(String text) {
      assertThat(parse(text).sections()).isEmpty();
      assertThat(findings).singleElement().asString().contains("malformed INI text");
    }
  }
}
