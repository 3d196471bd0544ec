package org.magnoliavale.internal.command;

/** A subcommand of the program. */
interface Command {
  /** Exit code on success. */
  int SUCCESS = 0;

  /** Exit code when a check failed or a request was rejected. */
  int FAILURE = 1;

  /** Exit code of an invalid command line. */
  int USAGE = 2;

  /** Runs the command and returns the exit code. */
  int run() throws Exception;
}
