/** What may occupy each endpoint's memory, and when bytes may be released. */
package org.magnoliavale.internal.ledger;
