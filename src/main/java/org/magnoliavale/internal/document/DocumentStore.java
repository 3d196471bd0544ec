package org.magnoliavale.internal.document;

import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jboss.logging.Logger;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.Finding;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.platform.Row;
import org.magnoliavale.internal.platform.Table;
import org.magnoliavale.internal.platform.TableResult;
import org.magnoliavale.internal.platform.Transaction;

/**
 * Stores the document in the platform's table.
 *
 * <p>Every change writes the head row, conditional on its row version, so that the table serialises
 * concurrent changes. The head keeps the ids of the most recent changes: a change whose commit
 * response was lost is recognised by its id on the next attempt. Holds no state of its own; calls
 * block until the table answers.
 */
public final class DocumentStore {
  private static final Logger LOG = Logs.of("document");
  private static final String ROOT = "document/";
  private static final String HEAD = ROOT + "head";
  private static final String SECTION = ROOT + "section/";
  private static final String CHANGE = "document-change/";
  private static final int MAXIMUM_ATTEMPTS = 6;
  private static final int RETAINED_CHANGE_IDS = 64;
  private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

  private record Snapshot(long headRowVersion, DocumentHead head, DocumentText text) {}

  private final Table table;
  private final InstantSource clock;

  private DocumentStore(Table table, InstantSource clock) {
    this.table = table;
    this.clock = clock;
  }

  /** Returns a store backed by {@code table}. */
  public static DocumentStore of(Table table, InstantSource clock) {
    return new DocumentStore(table, clock);
  }

  /** Returns the stored version, or empty if the table does not answer. */
  public Optional<Long> readVersion() {
    return switch (table.read(List.of(HEAD))) {
      case TableResult.Success done -> Optional.of(headOf(done).version());
      case TableResult.ConditionFailed ignored -> Optional.empty();
      case TableResult.OutcomeUnknown ignored -> Optional.empty();
      case TableResult.Unavailable ignored -> Optional.empty();
    };
  }

  /** Returns the stored document, or empty if no consistent copy could be read. */
  public Optional<DocumentText> readText() {
    return readSnapshot().map(Snapshot::text);
  }

  /** Returns the accepted changes, oldest first. */
  public List<DocumentChange> history() {
    if (!(table.scan(CHANGE) instanceof TableResult.Success(List<Row> rows, long ignored))) {
      throw unavailable();
    }
    return rows.stream().map(row -> parse(row, DocumentChange.class)).toList();
  }

  /**
   * Applies an edit and returns a document that contains it.
   *
   * @throws MagnoliavaleException with all findings if the document would be invalid, with the
   *     current revision if a section changed since it was read, or if the editor does not own a
   *     section; in these cases nothing is changed. With {@code PLATFORM_UNAVAILABLE} if the table
   *     does not answer or every attempt fails; the edit may then have been applied
   */
  public DocumentText apply(DocumentEdit edit) {
    for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
      Snapshot before = readSnapshot().orElseThrow(DocumentStore::unavailable);
      if (before.head().changeIds().contains(edit.changeId())) {
        return before.text();
      }
      DocumentText after = check(edit, before);
      TableResult result = table.commit(transaction(edit, before, after));
      if (result instanceof TableResult.Success) {
        LOG.infof(
            "Change accepted. version=%d by=%s sections=%s change=%s",
            after.version(), edit.editor().displayName(), edit.headings(), edit.changeId());
        return after;
      }
      // Condition failed: another change was committed first. Otherwise: the next read shows the
      // outcome.
      LOG.infof("Commit not confirmed. change=%s answer=%s", edit.changeId(), result);
    }
    throw unavailable();
  }

  private DocumentText check(DocumentEdit edit, Snapshot before) {
    EditRules.checkOwners(edit, before.text());
    EditRules.checkRevisions(edit, before.text());
    long version = before.head().version() + 1;
    List<StoredSection> written = new ArrayList<>();
    for (StoredSection section : edit.written()) {
      written.add(new StoredSection(section.heading(), version, section.text()));
    }
    DocumentText after = before.text().with(version, written);
    for (String heading : edit.deleted()) {
      after = after.without(version, heading);
    }
    List<Finding> findings = DocumentReader.check("document", after.text());
    if (!findings.isEmpty()) {
      throw MagnoliavaleException.ofFindings(findings);
    }
    return after;
  }

  private Transaction transaction(DocumentEdit edit, Snapshot before, DocumentText after) {
    Map<String, Long> revisions = new TreeMap<>();
    after.sections().forEach(section -> revisions.put(section.heading(), section.revision()));
    List<String> changeIds = new ArrayList<>(before.head().changeIds());
    changeIds.add(edit.changeId());
    int surplus = Math.max(0, changeIds.size() - RETAINED_CHANGE_IDS);
    DocumentHead head =
        new DocumentHead(after.version(), revisions, changeIds.subList(surplus, changeIds.size()));
    Transaction.Builder transaction = Transaction.builder().require(HEAD, before.headRowVersion());
    transaction.write(HEAD, Json.text(head));
    for (StoredSection section : edit.written()) {
      StoredSection stored = after.section(section.heading()).orElseThrow();
      transaction.write(SECTION + stored.heading(), Json.text(stored));
    }
    edit.deleted().forEach(heading -> transaction.delete(SECTION + heading));
    DocumentChange change =
        new DocumentChange(
            after.version(),
            edit.headings(),
            edit.editor().displayName(),
            edit.changeId(),
            clock.millis());
    return transaction
        .write(CHANGE + "%012d".formatted(after.version()), Json.text(change))
        .build();
  }

  private Optional<Snapshot> readSnapshot() {
    for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
      if (table.scan(ROOT) instanceof TableResult.Success done) {
        DocumentHead head = headOf(done);
        List<StoredSection> sections = sectionsOf(done);
        if (isConsistent(head, sections)) {
          DocumentText text = new DocumentText(head.version(), sections);
          return Optional.of(new Snapshot(done.version(HEAD), head, text));
        }
      }
    }
    return Optional.empty();
  }

  private static List<StoredSection> sectionsOf(TableResult.Success done) {
    return done.rows().stream()
        .filter(row -> row.key().startsWith(SECTION))
        .map(row -> parse(row, StoredSection.class))
        .toList();
  }

  /**
   * Returns whether the sections match the head. A scan is not atomic and may return rows of
   * different commits.
   */
  private static boolean isConsistent(DocumentHead head, List<StoredSection> sections) {
    Map<String, Long> found = new TreeMap<>();
    sections.forEach(section -> found.put(section.heading(), section.revision()));
    return found.equals(head.revisions());
  }

  private static DocumentHead headOf(TableResult.Success done) {
    return done.row(HEAD).map(row -> parse(row, DocumentHead.class)).orElse(DocumentHead.NONE);
  }

  private static <T> T parse(Row row, Class<T> type) {
    try {
      return Json.read(row.value(), type);
    } catch (IOException e) {
      throw MagnoliavaleException.of(
          ErrorCode.INTERNAL, "row " + row.key() + " is malformed: " + e.getMessage());
    }
  }

  private static MagnoliavaleException unavailable() {
    return MagnoliavaleException.of(
            ErrorCode.PLATFORM_UNAVAILABLE, "the platform's table did not answer")
        .withRetryAfter(RETRY_AFTER);
  }
}
