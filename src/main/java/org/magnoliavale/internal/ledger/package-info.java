/**
 * Accounts of the memory that artifacts may occupy at each endpoint, and the rules by which it may
 * be reused.
 *
 * <p>{@link org.magnoliavale.internal.ledger.Ledger} is the account of one endpoint and is stored
 * in the table as JSON; {@link org.magnoliavale.internal.ledger.SettlementRules} decides when the
 * memory of an unloaded artifact is free again. All types are immutable. They start no threads, do
 * no I/O and read no clock, and may not depend on the packages for HTTP, traffic or stand-ins.
 */
package org.magnoliavale.internal.ledger;
