package org.magnoliavale.internal.ini;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliavale.Finding;
import org.magnoliavale.internal.identifier.IdentifierRules;

/**
 * Schema of an INI text: the permitted sections and keys.
 *
 * @param sections one definition per kind of section
 */
public record Schema(List<SectionDefinition> sections) {
  /** Copies the definitions. */
  public Schema {
    sections = List.copyOf(sections);
  }

  /** Returns the definition of a kind of section. */
  public Optional<SectionDefinition> section(String kind) {
    return sections.stream().filter(section -> section.kind().equals(kind)).findFirst();
  }

  /**
   * Validates every section and key of {@code text} and adds the errors to {@code findings}.
   * Returns the sections of a known kind, including those with findings.
   */
  public List<CheckedSection> check(IniText text, List<Finding> findings) {
    List<CheckedSection> checked = new ArrayList<>();
    Set<String> headings = new HashSet<>();
    for (IniSection section : text.sections()) {
      SectionFindings sectionFindings = new SectionFindings(text.file(), section, findings);
      if (!headings.add(section.heading())) {
        sectionFindings.add("duplicate section");
      }
      Optional<SectionDefinition> definition = section(section.kind());
      if (definition.isEmpty()) {
        sectionFindings.add("unknown kind of section '" + section.kind() + "'");
        continue;
      }
      checkSection(definition.get(), section, sectionFindings);
      checked.add(new CheckedSection(definition.get(), section, sectionFindings));
    }
    return checked;
  }

  /**
   * Parses and validates a text in which each kind of section occurs once.
   *
   * @return every section of the schema by its kind; an absent section is treated as an empty one,
   *     so its defaults apply and its required keys are reported as missing
   */
  public Map<String, CheckedSection> read(String file, String text, List<Finding> findings) {
    IniText parsed = IniText.parse(file, text, findings);
    List<IniSection> present = new ArrayList<>(parsed.sections());
    for (SectionDefinition definition : sections) {
      String kind = definition.kind();
      if (present.stream().noneMatch(section -> section.kind().equals(kind))) {
        present.add(new IniSection(kind, "", 0, List.of()));
      }
    }
    Map<String, CheckedSection> byKind = new HashMap<>();
    check(new IniText(file, present), findings)
        .forEach(section -> byKind.putIfAbsent(section.definition().kind(), section));
    return byKind;
  }

  /**
   * Returns the keys whose values or defaults differ between two texts as {@link #read} takes them,
   * each as {@code section.key}, in the order of the schema. The list may be changed.
   */
  public List<String> changedKeys(String file, String before, String after) {
    Map<String, CheckedSection> old = read(file, before, new ArrayList<>());
    Map<String, CheckedSection> current = read(file, after, new ArrayList<>());
    List<String> changed = new ArrayList<>();
    for (SectionDefinition section : sections) {
      for (KeyDefinition key : section.keys()) {
        String oldValue = old.get(section.kind()).text(key.name());
        if (!oldValue.equals(current.get(section.kind()).text(key.name()))) {
          changed.add(section.kind() + "." + key.name());
        }
      }
    }
    return changed;
  }

  private static void checkSection(
      SectionDefinition definition, IniSection section, SectionFindings sectionFindings) {
    if (definition.named() && !IdentifierRules.isValid(section.name())) {
      sectionFindings.add("heading must be [" + section.kind() + " NAME]");
    }
    if (!definition.named() && !section.name().isEmpty()) {
      sectionFindings.add("heading must be [" + section.kind() + "] without a name");
    }
    Set<String> seen = new HashSet<>();
    for (IniEntry entry : section.entries()) {
      checkEntry(definition, entry, seen, sectionFindings);
    }
    for (KeyDefinition key : definition.keys()) {
      if (key.optionalDefault().isEmpty() && section.entry(key.name()).isEmpty()) {
        sectionFindings.addAtKey(section.line(), key.name(), "required key is missing");
      }
    }
  }

  private static void checkEntry(
      SectionDefinition definition,
      IniEntry entry,
      Set<String> seen,
      SectionFindings sectionFindings) {
    Optional<KeyDefinition> key = definition.key(entry.key());
    if (key.isEmpty()) {
      sectionFindings.addAtKey(entry.line(), entry.key(), "unknown key");
      return;
    }
    if (!seen.add(entry.key())) {
      sectionFindings.addAtKey(entry.line(), entry.key(), "duplicate key");
    }
    String error = key.get().type().validationError(entry.value());
    if (error != null) {
      sectionFindings.addAtKey(entry.line(), entry.key(), error);
    }
  }
}
