package org.magnoliavale.internal.document;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The row that every change of the document updates, which serialises concurrent changes.
 *
 * @param version version of the whole document
 * @param revisions revision of each section by heading
 * @param changeIds ids of the most recent changes, newest last
 */
public record DocumentHead(long version, Map<String, Long> revisions, List<String> changeIds) {
  /** The head of a document that has never been written. */
  public static final DocumentHead NONE = new DocumentHead(0, Map.of(), List.of());

  /** Copies the collections and sorts the revisions by heading. */
  public DocumentHead {
    revisions = Collections.unmodifiableMap(new TreeMap<>(revisions));
    changeIds = List.copyOf(changeIds);
  }
}
