/**
 * The configuration document: its schema, validation, storage and change history.
 *
 * <p>{@link org.magnoliavale.internal.document.DocumentReader} parses and validates a text into a
 * {@link org.magnoliavale.internal.document.Document}. {@link
 * org.magnoliavale.internal.document.DocumentStore} keeps the sections in the platform's table, and
 * {@link org.magnoliavale.internal.document.ActiveDocument} holds the document that is active on
 * this instance. {@link org.magnoliavale.internal.document.DocumentPoller} runs the package's only
 * thread. The package knows the table only through its interface, and must not depend on the
 * packages that use the document, such as routing, placement and control.
 */
package org.magnoliavale.internal.document;
