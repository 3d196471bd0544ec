package org.magnoliavale.internal.command;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
    HelpOption help = new HelpOption();
    VersionOption version = new VersionOption();
    Map<String, Command> commands = commands();
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

  private static Map<String, Command> commands() {
    Map<String, Command> commands = new LinkedHashMap<>();
    commands.put("serve", new ServeCommand());
    commands.put("gateway", new GatewayCommand());
    commands.put("check", new CheckCommand());
    commands.put("document", new DocumentCommand());
    commands.put("status", new QueryCommand("/status"));
    commands.put("placement", new QueryCommand("/placement"));
    commands.put("explain", new ExplainCommand());
    commands.put("stand-in", new StandInCommand());
    commands.put("demo-check", new DemoCheckCommand());
    commands.put("experiment", new ExperimentCommand());
    commands.put("load", new LoadCommand());
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
