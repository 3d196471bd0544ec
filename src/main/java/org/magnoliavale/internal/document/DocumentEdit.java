package org.magnoliavale.internal.document;

import java.util.List;
import java.util.stream.Stream;

/**
 * An operator's change to the document.
 *
 * @param written sections to add or replace
 * @param deleted headings of sections to delete
 * @param baseVersion document version that the edit is based on
 * @param changeId unique id of the change; a retry of the same change carries the same id
 * @param editor the author of the change
 */
public record DocumentEdit(
    List<StoredSection> written,
    List<String> deleted,
    long baseVersion,
    String changeId,
    Editor editor) {
  /** Copies the lists. */
  public DocumentEdit {
    written = List.copyOf(written);
    deleted = List.copyOf(deleted);
  }

  /** Returns the headings of all sections that the edit writes or deletes. */
  public List<String> headings() {
    return Stream.concat(written.stream().map(StoredSection::heading), deleted.stream()).toList();
  }
}
