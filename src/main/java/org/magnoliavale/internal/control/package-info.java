/**
 * Placement control of one instance: leases on engine pools, ledgers of their memory, and commands
 * that load and unload artifacts.
 *
 * <p>{@link org.magnoliavale.internal.control.ControlCore} is a deterministic state machine that
 * turns each {@link org.magnoliavale.internal.control.ControlEvent} into a list of {@link
 * org.magnoliavale.internal.control.ControlAction}; {@link
 * org.magnoliavale.internal.control.ControlLoop} runs it on the control thread and performs the
 * actions. {@link org.magnoliavale.internal.control.ReportPoller} polls the engines' reports on one
 * virtual thread for each endpoint.
 *
 * <p>The core, the pool controllers and the ledger classes do no I/O and may not read a system
 * clock; the time is part of each call.
 */
package org.magnoliavale.internal.control;
