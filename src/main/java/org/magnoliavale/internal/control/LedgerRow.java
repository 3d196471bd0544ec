package org.magnoliavale.internal.control;

import org.magnoliavale.internal.ledger.Ledger;

/**
 * A ledger as it stands in the table.
 *
 * @param version version of its row; 0 when there is none yet
 * @param ledger the ledger
 */
record LedgerRow(long version, Ledger ledger) {}
