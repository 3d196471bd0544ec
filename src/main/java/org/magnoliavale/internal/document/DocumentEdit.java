package org.magnoliavale.internal.document;

import java.util.List;
import java.util.stream.Stream;

/**
 * An operator's change to the document.
 *
 * @param written sections to add or replace
 * @param deleted headings of sections to delete
 * @param seenVersion version of the document that the operator edits
 * @param changeId unique id of the change, the same when it is sent again
 * @param editor who sends it
 */
public record DocumentEdit(
    List<StoredSection> written,
    List<String> deleted,
    long seenVersion,
    String changeId,
    Editor editor) {
  /** Takes copies. */
  public DocumentEdit {
    written = List.copyOf(written);
    deleted = List.copyOf(deleted);
  }

  /** Returns the headings of all sections that the edit touches. */
  public List<String> headings() {
    return Stream.concat(written.stream().map(StoredSection::heading), deleted.stream()).toList();
  }
}
