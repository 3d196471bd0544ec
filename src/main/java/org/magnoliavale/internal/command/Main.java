package org.magnoliavale.internal.command;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.magnoliavale.Finding;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.logging.Logs;

/**
 * Entry point of the program: parses the command line and runs one subcommand.
 *
 * <p>Exit codes: 0 success, 1 a check failed or a request was rejected, 2 invalid command line, 3
 * internal error.
 */
public final class Main {
  private static final int INTERNAL_ERROR = 3;
  private static final String GATEWAY = "gateway";

  private static final class HelpOption {
    @Parameter(
        names = {"--help", "-h"},
        help = true,
        description = "Print this help")
    private boolean requested;
  }

  private static final class VersionOption {
    @Parameter(names = "--version", help = true, description = "Print the version")
    private boolean requested;
  }

  private Main() {}

  /** Runs the program and exits the process with its exit code. */
  public static void main(String[] arguments) {
    int exitCode = run(arguments);
    System.out.flush();
    Logs.close();
    System.exit(exitCode);
  }

  static int run(String[] arguments) {
    // The start of an instance on a platform counts, and it has no options to parse.
    if (arguments.length == 1 && arguments[0].equals(GATEWAY)) {
      return run(new GatewayCommand());
    }
    return parseAndRun(arguments);
  }

  private static int parseAndRun(String[] arguments) {
    HelpOption help = new HelpOption();
    VersionOption version = new VersionOption();
    Map<String, Command> commands = commands(arguments);
    JCommander.Builder builder = JCommander.newBuilder().programName("magnoliavale");
    builder.addObject(help).addObject(version);
    HelpOption commandHelp = new HelpOption();
    commands.forEach((name, command) -> builder.addCommand(name, List.of(command, commandHelp)));
    JCommander parser = builder.build();
    try {
      parser.parse(arguments);
    } catch (ParameterException e) {
      System.err.println("magnoliavale: " + e.getMessage().lines().findFirst().orElse(""));
      return Command.USAGE;
    }
    if (version.requested) {
      System.out.println("magnoliavale " + version());
      return Command.SUCCESS;
    }
    if (commandHelp.requested) {
      parser.getUsageFormatter().usage(parser.getParsedCommand());
      return Command.SUCCESS;
    }
    Command command = commands.get(parser.getParsedCommand());
    if (help.requested || command == null) {
      parser.usage();
      return help.requested ? Command.SUCCESS : Command.USAGE;
    }
    return run(command);
  }

  private static Map<String, Supplier<Command>> commandFactories() {
    Map<String, Supplier<Command>> factories = new LinkedHashMap<>();
    factories.put("serve", ServeCommand::new);
    factories.put(GATEWAY, GatewayCommand::new);
    factories.put("check", CheckCommand::new);
    factories.put("document", DocumentCommand::new);
    factories.put("status", () -> new QueryCommand("/status"));
    factories.put("placement", () -> new QueryCommand("/placement"));
    factories.put("explain", ExplainCommand::new);
    factories.put("stand-in", StandInCommand::new);
    factories.put("demo-check", DemoCheckCommand::new);
    factories.put("experiment", ExperimentCommand::new);
    factories.put("load", LoadCommand::new);
    factories.put("training-run", TrainingRunCommand::new);
    return factories;
  }

  /**
   * Returns the commands that the arguments can mean: the one that the first argument names, so
   * that a start does not process the options of the others, or else all of them.
   */
  private static Map<String, Command> commands(String[] arguments) {
    Map<String, Supplier<Command>> factories = commandFactories();
    if (arguments.length > 0 && factories.containsKey(arguments[0])) {
      factories.keySet().retainAll(Set.of(arguments[0]));
    }
    Map<String, Command> commands = new LinkedHashMap<>();
    factories.forEach((name, factory) -> commands.put(name, factory.get()));
    return commands;
  }

  private static int run(Command command) {
    try {
      return command.run();
    } catch (MagnoliavaleException e) {
      for (Finding finding : e.findings()) {
        System.err.println(finding);
      }
      System.err.println("magnoliavale: " + e.code().code() + ": " + e.getMessage());
      return Command.FAILURE;
    } catch (Exception e) {
      Logs.of("command").error("Command failed.", e);
      System.err.println("magnoliavale: " + e);
      return INTERNAL_ERROR;
    }
  }

  private static String version() {
    String version = Main.class.getPackage().getImplementationVersion();
    return version == null ? "development" : version;
  }
}
