package org.magnoliavale.internal.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.concurrent.CountDownLatch;
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

  @Override
  public int run() throws InterruptedException {
    String text = InputFiles.read(settingsFile);
    Settings settings = SettingsReader.read(settingsFile, text);
    Logs.install(settings.logLevel());
    Magnoliavale instance =
        Magnoliavale.builder().settings(settingsFile, text).routingPolicy(routingPolicy).build();
    instance.start();
    ShutdownHook.install(instance);
    new CountDownLatch(1).await();
    return SUCCESS;
  }
}
