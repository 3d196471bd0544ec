package org.magnoliavale.internal.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.Set;
import org.magnoliavale.internal.gateway.GatewayInstance;
import org.magnoliavale.internal.gateway.GatewaySettings;
import org.magnoliavale.internal.gateway.GatewaySettingsReader;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.platform.PlatformAdapterFactory;

/** Runs an instance on the users' platform until the process is terminated. */
@Parameters(commandDescription = "Run an instance on the users' platform")
final class GatewayCommand implements Command {
  @Parameter(
      names = "--settings",
      description = "Settings file; defaults to the one named by the environment variable")
  private String settingsFile;

  /** Returns the command; its settings file is named by the environment if no option does. */
  GatewayCommand() {
    this(System.getenv(PlatformAdapterFactory.SETTINGS_VARIABLE));
  }

  GatewayCommand(String settingsFile) {
    this.settingsFile = settingsFile;
  }

  /** Keys that a running instance takes over from a changed file. */
  private static final Set<String> APPLICABLE_KEYS =
      Set.of(
          "callers.grace-period-s",
          "repeats.ratio",
          "repeats.reserve",
          "repeats.window-s",
          "log.level");

  @Override
  public int run() throws InterruptedException {
    if (settingsFile == null) {
      System.err.println("magnoliavale: no settings file; use --settings");
      return USAGE;
    }
    ReloadSignal reloadSignal = ReloadSignal.listen();
    String text = InputFiles.read(settingsFile);
    GatewaySettings settings = GatewaySettingsReader.read(settingsFile, text);
    Logs.install(settings.logLevel(), System.out);
    GatewayInstance instance = GatewayInstance.create(settings, PlatformAdapterFactory::create);
    StopSignal stopSignal = StopSignal.listen();
    instance.start();
    stopSignal.stopAtFirst(instance);
    new SettingsReload(
            settingsFile,
            text,
            GatewaySettingsReader.schema(),
            APPLICABLE_KEYS,
            newText -> apply(GatewaySettingsReader.read(settingsFile, newText), instance))
        .runAtEach(reloadSignal);
    return SUCCESS;
  }

  private static void apply(GatewaySettings settings, GatewayInstance instance) {
    Logs.setLevel(settings.logLevel());
    instance.reload(settings);
  }
}
