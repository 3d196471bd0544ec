package org.magnoliavale.internal.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.magnoliavale.Finding;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.identifier.DataCentreId;
import org.magnoliavale.internal.identifier.InstanceId;
import org.magnoliavale.internal.ini.CheckedSection;
import org.magnoliavale.internal.ini.Schema;

/** Parses and validates a settings file. All findings are reported together. */
public final class SettingsReader {
  private SettingsReader() {}

  /** Returns the schema of all sections and keys. */
  public static Schema schema() {
    return SettingsSchema.SCHEMA;
  }

  /** Returns all findings about a settings text; empty if it is valid. */
  public static List<Finding> check(String file, String text) {
    List<Finding> findings = new ArrayList<>();
    SettingsSchema.SCHEMA.read(file, text, findings);
    return findings;
  }

  /**
   * Parses and validates {@code text}.
   *
   * @throws MagnoliavaleException with every finding, if there is any
   */
  public static Settings read(String file, String text) {
    List<Finding> findings = new ArrayList<>();
    Map<String, CheckedSection> sections = SettingsSchema.SCHEMA.read(file, text, findings);
    if (!findings.isEmpty()) {
      throw MagnoliavaleException.ofFindings(findings);
    }
    return new Settings(
        instance(sections.get("instance")),
        caller(sections.get("caller")),
        operator(sections.get("operator")),
        peer(sections.get("peer")),
        platform(sections.get("platform")),
        engine(sections.get("engine")),
        sections.get("log").text("level"));
  }

  private static InstanceSettings instance(CheckedSection section) {
    return new InstanceSettings(
        new InstanceId(section.text("id")), new DataCentreId(section.text("data-centre")));
  }

  private static CallerSettings caller(CheckedSection section) {
    return new CallerSettings(
        section.address("address"),
        (int) section.number("maximum-body-bytes"),
        (int) section.number("maximum-header-bytes"),
        (int) section.number("maximum-requests"),
        milliseconds(section, "default-deadline-ms"),
        milliseconds(section, "idle-timeout-ms"),
        milliseconds(section, "drain-wait-ms"),
        milliseconds(section, "drain-timeout-ms"));
  }

  private static OperatorSettings operator(CheckedSection section) {
    return new OperatorSettings(
        section.address("address"), section.text("administrator-token-sha256"));
  }

  private static PeerSettings peer(CheckedSection section) {
    return new PeerSettings(
        section.address("address"),
        section.text("shared-key"),
        milliseconds(section, "heartbeat-ms"),
        milliseconds(section, "silence-timeout-ms"));
  }

  private static PlatformSettings platform(CheckedSection section) {
    return new PlatformSettings(
        section.address("address"),
        milliseconds(section, "timeout-ms"),
        (int) section.number("fleet-reads-per-second"),
        (int) section.number("fleet-writes-per-second"),
        milliseconds(section, "document-poll-ms"),
        milliseconds(section, "lease-ms"),
        milliseconds(section, "clock-drift-ms"));
  }

  private static EngineSettings engine(CheckedSection section) {
    return new EngineSettings(
        (int) section.number("connections-per-endpoint"),
        milliseconds(section, "connect-timeout-ms"),
        milliseconds(section, "first-byte-timeout-ms"),
        milliseconds(section, "progress-timeout-ms"),
        milliseconds(section, "idle-connection-ms"),
        milliseconds(section, "report-interval-ms"),
        (int) section.number("maximum-answer-bytes"));
  }

  private static Duration milliseconds(CheckedSection section, String key) {
    return Duration.ofMillis(section.number(key));
  }
}
