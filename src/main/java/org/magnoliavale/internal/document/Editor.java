package org.magnoliavale.internal.document;

import org.magnoliavale.internal.identifier.TeamId;

/** Someone who may change the document. */
public sealed interface Editor {
  /** May change every section. */
  record Administrator() implements Editor {}

  /** May change the sections that the team owns. */
  record Member(TeamId team) implements Editor {}

  /** Returns the name that the history shows. */
  default String displayName() {
    return switch (this) {
      case Administrator() -> "administrator";
      case Member(TeamId team) -> team.value();
    };
  }
}
