package org.magnoliavale.internal.document;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.magnoliavale.internal.ini.CheckedSection;

/** Validates references and constraints between sections of the document. */
final class DocumentRules {
  private final List<CheckedSection> sections;
  private final Map<String, Set<String>> namesByKind = new HashMap<>();
  private final Map<String, CheckedSection> pools = new HashMap<>();

  DocumentRules(List<CheckedSection> sections) {
    this.sections = sections;
    for (CheckedSection section : sections) {
      String kind = section.definition().kind();
      namesByKind.computeIfAbsent(kind, ignored -> new HashSet<>()).add(section.name());
      if (kind.equals("pool")) {
        pools.put(section.name(), section);
      }
    }
  }

  void check() {
    for (CheckedSection section : sections) {
      switch (section.definition().kind()) {
        case "team" -> {}
        case "link" -> {
          checkReference(section, "owner", "team");
          checkReference(section, "from", "data-centre");
          checkReference(section, "to", "data-centre");
        }
        case "contract" -> checkContract(section);
        case "endpoint" -> checkEndpoint(section);
        case "model" -> checkPoolMember(section, "engines");
        case "service" -> checkPoolMember(section, "services");
        default -> checkReference(section, "owner", "team");
      }
    }
  }

  private void checkContract(CheckedSection section) {
    checkReference(section, "owner", "team");
    if (section.flag("keeps-fence-over-restart") && !section.flag("checks-fencing")) {
      section.findings().addAtKey("keeps-fence-over-restart", "requires checks-fencing");
    }
  }

  private void checkEndpoint(CheckedSection section) {
    checkReference(section, "owner", "team");
    checkReference(section, "pool", "pool");
    checkReference(section, "data-centre", "data-centre");
    if (!section.text("contract").equals("none")) {
      checkReference(section, "contract", "contract");
    }
    if (section.number("kv-cache-bytes") > section.number("memory-bytes")) {
      section.findings().addAtKey("kv-cache-bytes", "exceeds memory-bytes");
    }
  }

  private void checkPoolMember(CheckedSection section, String kind) {
    checkReference(section, "owner", "team");
    checkReference(section, "pool", "pool");
    CheckedSection pool = pools.get(section.text("pool"));
    if (pool != null && !pool.text("kind").equals(kind)) {
      section.findings().addAtKey("pool", "is not a pool of " + kind);
    }
  }

  private void checkReference(CheckedSection section, String key, String kind) {
    String name = section.text(key);
    if (!name.isEmpty() && !namesByKind.getOrDefault(kind, Set.of()).contains(name)) {
      section.findings().addAtKey(key, "there is no [" + kind + " " + name + "]");
    }
  }
}
