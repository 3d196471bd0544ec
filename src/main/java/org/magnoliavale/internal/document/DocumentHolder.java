package org.magnoliavale.internal.document;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.logging.Logs;

/** The document in force on this instance. Its version only rises. */
public final class DocumentHolder {
  private static final Logger LOG = Logs.of("document");

  private record InForce(DocumentText text, Document document) {}

  private final List<Consumer<Document>> listeners = new CopyOnWriteArrayList<>();
  private volatile InForce inForce = new InForce(DocumentText.EMPTY, Document.EMPTY);

  private DocumentHolder() {}

  /** Returns a holder without a document. */
  public static DocumentHolder create() {
    return new DocumentHolder();
  }

  /** Calls {@code listener} with every document that comes in force, on the installing thread. */
  public void addListener(Consumer<Document> listener) {
    listeners.add(listener);
  }

  /** Puts a document in force unless one of the same or a higher version is. */
  public boolean install(DocumentText text, String source) {
    synchronized (this) {
      if (text.version() <= version()) {
        return false;
      }
      inForce = new InForce(text, text.toDocument());
      LOG.infof("Document in force. version=%d source=%s", text.version(), source);
      listeners.forEach(listener -> listener.accept(document()));
    }
    return true;
  }

  /** Returns the version in force, 0 for none. */
  public long version() {
    return inForce.text().version();
  }

  /** Returns the text in force. */
  public DocumentText text() {
    return inForce.text();
  }

  /** Returns the document in force. */
  public Document document() {
    return inForce.document();
  }
}
