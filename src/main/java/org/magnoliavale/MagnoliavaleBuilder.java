package org.magnoliavale;

import java.time.InstantSource;
import java.util.Objects;
import org.magnoliavale.internal.instance.Instance;
import org.magnoliavale.internal.instance.InstanceOptions;
import org.magnoliavale.internal.routing.RoutingPolicy;
import org.magnoliavale.internal.settings.SettingsReader;

/** Builder for an instance. Settings are required; all other options have defaults. */
public final class MagnoliavaleBuilder {
  private String settingsName;
  private String settingsText;
  private InstantSource clock = InstantSource.system();
  private String routingPolicy = "earliest-finish";

  MagnoliavaleBuilder() {}

  /**
   * Sets the settings.
   *
   * @param name name of the text, for example a file path, used in findings
   * @param text the INI text
   */
  public MagnoliavaleBuilder settings(String name, String text) {
    settingsName = Objects.requireNonNull(name, "name");
    settingsText = Objects.requireNonNull(text, "text");
    return this;
  }

  /** Sets the source of wall-clock time. */
  public MagnoliavaleBuilder clock(InstantSource source) {
    clock = Objects.requireNonNull(source, "source");
    return this;
  }

  /**
   * Sets the routing policy: {@code earliest-finish}, or one of the baselines {@code round-robin},
   * {@code least-reported} and {@code least-in-flight}.
   */
  public MagnoliavaleBuilder routingPolicy(String name) {
    routingPolicy = Objects.requireNonNull(name, "name");
    return this;
  }

  /**
   * Creates the instance without starting it.
   *
   * @throws MagnoliavaleException with all findings if the settings are invalid
   * @throws IllegalStateException if no settings were set
   * @throws IllegalArgumentException if the routing policy is unknown
   */
  public Magnoliavale build() {
    if (settingsText == null) {
      throw new IllegalStateException("settings are required");
    }
    InstanceOptions options =
        new InstanceOptions(
            SettingsReader.read(settingsName, settingsText),
            clock,
            RoutingPolicy.named(routingPolicy));
    return new Magnoliavale(Instance.create(options));
  }
}
