/** The command line: one class for each subcommand. */
package org.magnoliavale.internal.command;
