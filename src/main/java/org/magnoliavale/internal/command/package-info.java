/**
 * The command line of the program: parsing, exit codes, and one class for each subcommand.
 *
 * <p>{@link org.magnoliavale.internal.command.Main} parses the arguments and runs the selected
 * {@link org.magnoliavale.internal.command.Command} on the main thread. Commands that run until the
 * process is terminated stop their service at a signal, see {@link
 * org.magnoliavale.internal.command.StopSignal}.
 *
 * <p>Only this package may depend on the adapter of the users' platform, and only this package and
 * the load generator may depend on the stand-ins.
 */
package org.magnoliavale.internal.command;
