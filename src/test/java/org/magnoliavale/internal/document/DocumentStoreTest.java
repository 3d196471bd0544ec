package org.magnoliavale.internal.document;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.identifier.TeamId;
import org.magnoliavale.internal.platform.FaultyTable;
import org.magnoliavale.internal.platform.Table;
import org.magnoliavale.internal.standin.InMemoryTable;

class DocumentStoreTest {
  private static final InstantSource CLOCK = InstantSource.fixed(Instant.ofEpochMilli(1_000));
  private static final Editor COOKS = new Editor.TeamMember(new TeamId("cooks"));
  private static final Editor OTHERS = new Editor.TeamMember(new TeamId("others"));

  private final InMemoryTable table = new InMemoryTable();
  private final DocumentStore store = DocumentStore.of(table, CLOCK);

  private static DocumentEdit edit(String text, long baseVersion, String changeId, Editor editor) {
    List<StoredSection> sections = DocumentText.split("d.ini", text, 0, new ArrayList<>());
    return new DocumentEdit(sections, List.of(), baseVersion, changeId, editor);
  }

  private static String model(long bytes) {
    return TestDocuments.model("first", bytes);
  }

  private ErrorCode codeOf(DocumentEdit edit) {
    return catchThrowableOfType(MagnoliavaleException.class, () -> store.apply(edit)).code();
  }

  private DocumentText stored() {
    return store.readText().orElseThrow();
  }

  @BeforeEach
  void storeInitialDocument() {
    String text = TestDocuments.document("engine-1", 10, 6);
    store.apply(edit(text, 0, "first", new Editor.Administrator()));
  }

  @Nested
  class ConcurrentEdits {
    @Test
    void secondEditOfTheSameSectionIsRejectedWithTheCurrentRevision() {
      store.apply(edit(model(7), 1, "one", COOKS));
      MagnoliavaleException rejected =
          catchThrowableOfType(
              MagnoliavaleException.class, () -> store.apply(edit(model(8), 1, "two", COOKS)));
      assertThat(rejected.code()).isEqualTo(ErrorCode.REVISION_CONFLICT);
      assertThat(rejected).hasMessageContaining("revision 2");
      assertThat(stored().toDocument().models().values())
          .extracting(Model::bytes)
          .containsExactly(7L);
    }

    @Test
    void editsOfDifferentSectionsBothSucceed() {
      store.apply(edit(model(7), 1, "one", COOKS));
      store.apply(edit(TestDocuments.model("second", 1), 1, "two", COOKS));
      assertThat(stored().version()).isEqualTo(3);
    }
  }

  @Nested
  class LostResponses {
    @ParameterizedTest
    @EnumSource(names = {"LOST_BEFORE_EFFECT", "LOST_AFTER_EFFECT", "UNAVAILABLE"})
    void changeTakesEffectOnce(FaultyTable.Fault fault) {
      Table faulty = new FaultyTable(table, fault, 1, 1);
      DocumentText after =
          DocumentStore.of(faulty, CLOCK).apply(edit(model(7), 1, "change", COOKS));
      assertThat(after.version()).isEqualTo(2);
      assertThat(stored().version()).isEqualTo(2);
      assertThat(store.history()).extracting(DocumentChange::version).containsExactly(1L, 2L);
    }

    @Test
    void retriedChangeIsNotAppliedAgain() {
      store.apply(edit(model(7), 1, "change", COOKS));
      store.apply(edit(model(8), 2, "another", COOKS));
      DocumentText again = store.apply(edit(model(7), 1, "change", COOKS));
      assertThat(again.version()).isEqualTo(3);
      assertThat(stored().toDocument().models().values())
          .extracting(Model::bytes)
          .containsExactly(8L);
    }
  }

  @Nested
  class RejectedEdits {
    @Test
    void ofAnotherTeamsSectionChangeNothing() {
      assertThat(codeOf(edit(model(7), 1, "change", OTHERS))).isEqualTo(ErrorCode.FORBIDDEN);
      assertThat(stored().version()).isEqualTo(1);
    }

    @Test
    void thatChangeTheOwnerOfASectionAreForbidden() {
      String taken = model(7).replace("owner = cooks", "owner = others");
      assertThat(codeOf(edit(taken, 1, "change", OTHERS))).isEqualTo(ErrorCode.FORBIDDEN);
    }

    @Test
    void thatExceedTheMemoryChangeNothing() {
      assertThat(codeOf(edit(model(11), 1, "change", COOKS)))
          .isEqualTo(ErrorCode.INVALID_CONFIGURATION);
      assertThat(stored().version()).isEqualTo(1);
    }
  }

  @Test
  void activeVersionNeverDecreases() {
    ActiveDocument activeDocument = ActiveDocument.create();
    DocumentText first = stored();
    store.apply(edit(model(7), 1, "change", COOKS));
    assertThat(activeDocument.install(stored(), "table")).isTrue();
    assertThat(activeDocument.install(first, "peer")).isFalse();
    assertThat(activeDocument.version()).isEqualTo(2);
  }
}
