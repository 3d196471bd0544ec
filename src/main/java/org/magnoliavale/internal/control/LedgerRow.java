package org.magnoliavale.internal.control;

import org.magnoliavale.internal.ledger.Ledger;

/**
 * A ledger as stored in the table.
 *
 * @param version version of the row; 0 if the row does not exist
 * @param ledger the ledger
 */
record LedgerRow(long version, Ledger ledger) {}
