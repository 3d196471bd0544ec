package org.magnoliavale.internal.document;

import org.magnoliavale.internal.identifier.TeamId;

/** The author of a change to the document. */
public sealed interface Editor {
  /** The administrator, who may change every section. */
  record Administrator() implements Editor {}

  /** A member of a team, who may change the sections that the team owns. */
  record TeamMember(TeamId team) implements Editor {}

  /** Returns the name shown in the change history. */
  default String displayName() {
    return switch (this) {
      case Administrator() -> "administrator";
      case TeamMember(TeamId team) -> team.value();
    };
  }
}
