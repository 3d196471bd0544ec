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
      Findings place = new Findings(text.file(), section, findings);
      if (!headings.add(section.heading())) {
        place.add("duplicate section");
      }
      Optional<SectionDefinition> definition = section(section.kind());
      if (definition.isEmpty()) {
        place.add("unknown kind of section '" + section.kind() + "'");
        continue;
      }
      checkSection(definition.get(), section, place);
      checked.add(new CheckedSection(definition.get(), section, place));
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

  private static void checkSection(
      SectionDefinition definition, IniSection section, Findings place) {
    if (definition.named() && !IdentifierRules.isValid(section.name())) {
      place.add("heading must be [" + section.kind() + " NAME]");
    }
    if (!definition.named() && !section.name().isEmpty()) {
      place.add("heading must be [" + section.kind() + "] without a name");
    }
    Set<String> seen = new HashSet<>();
    for (IniEntry entry : section.entries()) {
      checkEntry(definition, entry, seen, place);
    }
    for (KeyDefinition key : definition.keys()) {
      if (key.defaultIfAny().isEmpty() && section.entry(key.name()).isEmpty()) {
        place.addAtKey(section.line(), key.name(), "required key is missing");
      }
    }
  }

  private static void checkEntry(
      SectionDefinition definition, IniEntry entry, Set<String> seen, Findings place) {
    Optional<KeyDefinition> key = definition.key(entry.key());
    if (key.isEmpty()) {
      place.addAtKey(entry.line(), entry.key(), "unknown key");
      return;
    }
    if (!seen.add(entry.key())) {
      place.addAtKey(entry.line(), entry.key(), "duplicate key");
    }
    String fault = key.get().type().fault(entry.value());
    if (fault != null) {
      place.addAtKey(entry.line(), entry.key(), fault);
    }
  }
}
