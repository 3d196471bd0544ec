package org.magnoliavale.internal.command;

/** A subcommand of the program. */
interface Command {
  /** Exit code of success. */
  int SUCCESS = 0;

  /** Exit code when something checked is wrong or a call was refused. */
  int FAILURE = 1;

  /** Exit code of a wrong command line. */
  int USAGE = 2;

  /** Runs the command and returns the exit code. */
  int run() throws Exception;
}
