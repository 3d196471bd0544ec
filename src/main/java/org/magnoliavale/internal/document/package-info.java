/** The configuration document: its sections, checks, storage and history. */
package org.magnoliavale.internal.document;
