/**
 * Configuration, format and asynchronous output of the log.
 *
 * <p>{@link org.magnoliavale.internal.logging.Logs} creates the loggers and installs a handler on
 * {@code java.util.logging}. The handler writes records on one daemon thread, {@code log-writer};
 * logging never blocks on output. The package depends on no other package of the program.
 */
package org.magnoliavale.internal.logging;
