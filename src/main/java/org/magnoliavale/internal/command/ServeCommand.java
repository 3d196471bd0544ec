package org.magnoliavale.internal.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.Set;
import org.magnoliavale.Magnoliavale;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.settings.Settings;
import org.magnoliavale.internal.settings.SettingsReader;

/** Runs an instance until the process is terminated. */
@Parameters(commandDescription = "Run an instance")
final class ServeCommand implements Command {
  @Parameter(names = "--settings", required = true, description = "Settings file")
  private String settingsFile;

  @Parameter(
      names = "--routing-policy",
      description = "earliest-finish, round-robin, least-reported or least-in-flight")
  private String routingPolicy = "earliest-finish";

  /** Keys that a running instance takes over from a changed file. */
  private static final Set<String> APPLICABLE_KEYS = Set.of("log.level");

  @Override
  public int run() throws InterruptedException {
    ReloadSignal reloadSignal = ReloadSignal.listen();
    String text = InputFiles.read(settingsFile);
    Settings settings = SettingsReader.read(settingsFile, text);
    Logs.install(settings.logLevel());
    Magnoliavale instance =
        Magnoliavale.builder().settings(settingsFile, text).routingPolicy(routingPolicy).build();
    StopSignal stopSignal = StopSignal.listen();
    instance.start();
    stopSignal.stopAtFirst(instance);
    new SettingsReload(
            settingsFile,
            text,
            SettingsReader.schema(),
            APPLICABLE_KEYS,
            newText -> Logs.setLevel(SettingsReader.read(settingsFile, newText).logLevel()))
        .runAtEach(reloadSignal);
    return SUCCESS;
  }
}
