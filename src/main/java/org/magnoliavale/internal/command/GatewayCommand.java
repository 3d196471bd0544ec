package org.magnoliavale.internal.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.concurrent.CountDownLatch;
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
  private String settingsFile = System.getenv(PlatformAdapterFactory.SETTINGS_VARIABLE);

  @Override
  public int run() throws InterruptedException {
    if (settingsFile == null) {
      System.err.println("magnoliavale: no settings file; use --settings");
      return USAGE;
    }
    GatewaySettings settings =
        GatewaySettingsReader.read(settingsFile, InputFiles.read(settingsFile));
    Logs.install(settings.logLevel(), System.out);
    GatewayInstance instance = GatewayInstance.create(settings, PlatformAdapterFactory::create);
    instance.start();
    ShutdownHook.install(instance);
    new CountDownLatch(1).await();
    return SUCCESS;
  }
}
