package org.magnoliavale.internal.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.identifier.TeamId;
import org.magnoliavale.internal.ini.IniEntry;
import org.magnoliavale.internal.ini.IniSection;
import org.magnoliavale.internal.ini.IniText;

/** Checks ownership and base revision of the sections that an edit changes. */
final class EditRules {
  private EditRules() {}

  static void checkOwners(DocumentEdit edit, DocumentText before) {
    if (!(edit.editor() instanceof Editor.TeamMember(TeamId team))) {
      return;
    }
    for (String heading : edit.headings()) {
      Optional<StoredSection> old = before.section(heading);
      boolean ownsOld = old.isEmpty() || owns(team, old.get());
      boolean ownsNew =
          edit.written().stream()
              .filter(section -> section.heading().equals(heading))
              .allMatch(section -> owns(team, section));
      boolean newTeam = old.isEmpty() && heading.startsWith("team ");
      if (!ownsOld || !ownsNew || newTeam) {
        throw MagnoliavaleException.of(
            ErrorCode.FORBIDDEN, "team " + team + " does not own section [" + heading + "]");
      }
    }
  }

  static void checkRevisions(DocumentEdit edit, DocumentText before) {
    for (String heading : edit.headings()) {
      long current = before.section(heading).map(StoredSection::revision).orElse(0L);
      if (current > edit.baseVersion()) {
        throw MagnoliavaleException.of(
            ErrorCode.REVISION_CONFLICT,
            "section ["
                + heading
                + "] was changed in revision "
                + current
                + ", after revision "
                + edit.baseVersion()
                + ", on which the edit is based");
      }
    }
  }

  private static boolean owns(TeamId team, StoredSection section) {
    List<IniSection> parsed =
        IniText.parse("section", section.text(), new ArrayList<>()).sections();
    if (parsed.size() != 1) {
      return false;
    }
    IniSection only = parsed.getFirst();
    String owner =
        only.kind().equals("team")
            ? only.name()
            : only.entry("owner").map(IniEntry::value).orElse("");
    return owner.equals(team.value());
  }
}
