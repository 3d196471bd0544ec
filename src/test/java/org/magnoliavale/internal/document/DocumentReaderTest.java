package org.magnoliavale.internal.document;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.ini.ReferencePage;

class DocumentReaderTest {
  @ParameterizedTest
  @ValueSource(strings = {"demo/tsunkh-lunch.ini", "demo/nile-cloister.ini"})
  void acceptsTheDemoDocuments(String file) throws IOException {
    String text = Files.readString(Path.of(file));
    assertThat(DocumentReader.check(file, text)).isEmpty();
    assertThat(DocumentReader.read(file, text, 1).models()).hasSize(20);
  }

  @Test
  void reportsTheMissingMemoryOfModelsThatDoNotFit() {
    String text = TestDocuments.document("engine-1", 10, 6) + TestDocuments.model("second", 5);
    assertThat(DocumentReader.check("d.ini", text))
        .extracting(Object::toString)
        .containsExactly(
            "d.ini:0 [pool engines]: models do not fit into the memory of its endpoints;"
                + " 1 bytes are missing");
  }

  @Test
  void reportsUnresolvedReferences() {
    String text =
        TestDocuments.document("engine-1", 10, 6).replace("pool = engines", "pool = nowhere");
    assertThat(DocumentReader.check("d.ini", text))
        .extracting(finding -> finding.section() + " " + finding.key() + ": " + finding.message())
        .containsExactlyInAnyOrder(
            "endpoint engine-1 pool: there is no [pool nowhere]",
            "model first pool: there is no [pool nowhere]");
  }

  @Test
  void referencePageMatchesTheSchema() throws IOException {
    String page =
        ReferencePage.of(
            "Document", "Every key of the configuration document.", DocumentSchema.SCHEMA);
    assertThat(Files.readString(Path.of("docs/DOCUMENT.md"))).isEqualTo(page);
  }
}
