package org.magnoliavale.internal.document;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.logging.Logs;

/**
 * Holds the active document of this instance. Its version only increases.
 *
 * <p>Thread-safe: reads do not block, and installs are serialised.
 */
public final class ActiveDocument {
  private static final Logger LOG = Logs.of("document");

  private record State(DocumentText text, Document document) {}

  private final List<Consumer<Document>> listeners = new CopyOnWriteArrayList<>();
  private volatile State state = new State(DocumentText.EMPTY, Document.EMPTY);

  private ActiveDocument() {}

  /** Returns a new holder without a document. */
  public static ActiveDocument create() {
    return new ActiveDocument();
  }

  /**
   * Registers a listener that is called with every document that becomes active. It runs on the
   * installing thread, which holds the lock on this object.
   */
  public void addListener(Consumer<Document> listener) {
    listeners.add(listener);
  }

  /**
   * Activates a document unless the active one has the same or a higher version.
   *
   * @param text the document
   * @param source origin of the document, for the log
   * @return whether the document was activated
   */
  public boolean install(DocumentText text, String source) {
    synchronized (this) {
      if (text.version() <= version()) {
        return false;
      }
      state = new State(text, text.toDocument());
      LOG.infof("Document activated. version=%d source=%s", text.version(), source);
      listeners.forEach(listener -> listener.accept(document()));
    }
    return true;
  }

  /** Returns the version of the active document, or 0 if there is none. */
  public long version() {
    return state.text().version();
  }

  /** Returns the text of the active document. */
  public DocumentText text() {
    return state.text();
  }

  /** Returns the active document. */
  public Document document() {
    return state.document();
  }
}
