/** The control state of an instance: a pure decision core, and the one thread that owns it. */
package org.magnoliavale.internal.control;
