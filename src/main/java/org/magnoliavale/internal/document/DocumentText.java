package org.magnoliavale.internal.document;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.magnoliavale.Finding;
import org.magnoliavale.internal.ini.IniEntry;
import org.magnoliavale.internal.ini.IniSection;
import org.magnoliavale.internal.ini.IniText;

/**
 * The document as the INI texts of its sections, as stored in the table and sent to peers.
 *
 * @param version version of the whole document
 * @param sections the sections, sorted by heading
 */
public record DocumentText(long version, List<StoredSection> sections) {
  /** The document of a fleet that has never been configured. */
  public static final DocumentText EMPTY = new DocumentText(0, List.of());

  /** Copies and sorts the sections. */
  public DocumentText {
    sections = sections.stream().sorted(Comparator.comparing(StoredSection::heading)).toList();
  }

  /** Returns the section with this heading, if present. */
  public Optional<StoredSection> section(String heading) {
    return sections.stream().filter(section -> section.heading().equals(heading)).findFirst();
  }

  /** Returns the whole INI text. */
  public String text() {
    StringBuilder text = new StringBuilder();
    sections.forEach(section -> text.append(section.text()).append('\n'));
    return text.toString();
  }

  /** Parses the text, which was validated when it was accepted. */
  public Document toDocument() {
    return DocumentReader.readAccepted("document", text(), version);
  }

  /** Returns a copy with sections added or replaced. */
  public DocumentText with(long newVersion, List<StoredSection> changed) {
    List<StoredSection> result = new ArrayList<>(sections);
    for (StoredSection section : changed) {
      result.removeIf(old -> old.heading().equals(section.heading()));
      result.add(section);
    }
    return new DocumentText(newVersion, result);
  }

  /** Returns a copy without a section. */
  public DocumentText without(long newVersion, String heading) {
    return new DocumentText(
        newVersion, sections.stream().filter(old -> !old.heading().equals(heading)).toList());
  }

  /**
   * Splits an INI text into sections in canonical form, each with the given revision. Parse errors
   * are added to {@code findings}.
   */
  public static List<StoredSection> split(
      String file, String text, long revision, List<Finding> findings) {
    List<StoredSection> result = new ArrayList<>();
    for (IniSection section : IniText.parse(file, text, findings).sections()) {
      result.add(new StoredSection(section.heading(), revision, canonical(section)));
    }
    return result;
  }

  private static String canonical(IniSection section) {
    StringBuilder text = new StringBuilder("[" + section.heading() + "]\n");
    for (IniEntry entry : section.entries()) {
      text.append(entry.key()).append(" = ").append(entry.value()).append('\n');
    }
    return text.toString();
  }
}
