package org.magnoliavale.internal.gateway;

import static org.magnoliavale.internal.ini.KeyDefinition.optional;
import static org.magnoliavale.internal.ini.KeyDefinition.required;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.magnoliavale.Finding;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.ini.CheckedSection;
import org.magnoliavale.internal.ini.Schema;
import org.magnoliavale.internal.ini.SectionDefinition;
import org.magnoliavale.internal.ini.ValueType;
import org.magnoliavale.internal.quota.QuotaBounds;
import org.magnoliavale.internal.settings.PeerSettings;
import org.magnoliavale.internal.tenant.TenantSettings;

/** Parses and validates the settings of an instance on a platform. */
public final class GatewaySettingsReader {
  private static final ValueType ADDRESS = new ValueType.Address();
  private static final ValueType SECONDS = new ValueType.WholeNumber(1, 3_600);
  private static final ValueType MILLISECONDS = new ValueType.WholeNumber(1, 3_600_000);
  private static final ValueType OPTIONAL_MILLISECONDS =
      new ValueType.Text(
          "a whole number from 0 to 9999999, or nothing", Pattern.compile("\\d{0,7}"));
  private static final ValueType OPTIONAL_FLAG =
      new ValueType.Text("true, false or nothing", Pattern.compile("(true|false)?"));
  private static final int PERCENT = 100;
  private static final ValueType PORT = new ValueType.WholeNumber(0, 65_535);

  private static final Schema SCHEMA =
      new Schema(
          List.of(
              new SectionDefinition(
                  "instance",
                  false,
                  "This instance.",
                  List.of(
                      required("id", new ValueType.Name(), "", "Name of the instance."),
                      required(
                          "data-centre",
                          new ValueType.Name(),
                          "",
                          "Data centre of the instance."))),
              new SectionDefinition(
                  "processor",
                  false,
                  "Processor time that this instance may use; those with more relay for others.",
                  List.of(
                      optional(
                          "share",
                          new ValueType.OrDefault(new ValueType.Decimal(0, 1_000)),
                          "",
                          "0",
                          "Share of each core; 0 if it is not known."),
                      optional(
                          "cores",
                          new ValueType.OrDefault(new ValueType.Decimal(0, 1_000)),
                          "",
                          "1",
                          "Number of cores, or their speed in multiples of a usual one."))),
              new SectionDefinition(
                  "callers",
                  false,
                  "Callers and the load balancer.",
                  List.of(
                      required("address", ADDRESS, "", "Listen address for callers."),
                      required(
                          "readiness-address", ADDRESS, "", "Listen address for readiness checks."),
                      optional(
                          "grace-period-s",
                          SECONDS,
                          "seconds",
                          "8",
                          "Time from the stop signal until the process is killed."))),
              new SectionDefinition(
                  "peers",
                  false,
                  "Links between instances.",
                  List.of(
                      required(
                          "host",
                          new ValueType.Text("an address", Pattern.compile("[0-9a-fA-F.:]+")),
                          "",
                          "Numeric address of this instance."),
                      required(
                          "port", PORT, "", "Port for other instances; 0 lets the system choose."),
                      required(
                          "metrics-port", PORT, "", "Port for metrics; 0 lets the system choose."),
                      required(
                          "shared-key",
                          new ValueType.Text("text", Pattern.compile(".+")),
                          "",
                          "Key shared by all instances, which authenticate each other with it."),
                      optional(
                          "heartbeat-ms",
                          MILLISECONDS,
                          "milliseconds",
                          "500",
                          "Time between heartbeats."),
                      optional(
                          "silence-timeout-ms",
                          MILLISECONDS,
                          "milliseconds",
                          "2000",
                          "Time without received data after which a link is reconnected."))),
              new SectionDefinition(
                  "store",
                  false,
                  "The platform's store.",
                  List.of(required("address", ADDRESS, "", "Address of the store."))),
              new SectionDefinition(
                  "orders",
                  false,
                  "Commands to engines.",
                  List.of(
                      optional(
                          "lease-ms",
                          MILLISECONDS,
                          "milliseconds",
                          "3000",
                          "Duration of the command lease; a failed holder keeps it this long."),
                      optional(
                          "ceiling-window-s",
                          SECONDS,
                          "seconds",
                          "5",
                          "Window in which loads from the weight store are counted."))),
              new SectionDefinition(
                  "repeats",
                  false,
                  "Retry budget of the fleet.",
                  List.of(
                      optional(
                          "ratio", new ValueType.Decimal(0, 1), "", "0.1", "Retries per request."),
                      optional(
                          "reserve",
                          new ValueType.Decimal(0, 1_000_000),
                          "",
                          "20",
                          "Retries per window regardless of requests."),
                      optional("window-s", SECONDS, "seconds", "10", "Length of the window."))),
              new SectionDefinition(
                  "tenants",
                  false,
                  "Callers' keys, on deployments whose configuration has tenants.",
                  List.of(
                      optional(
                          "revocation-ms",
                          OPTIONAL_MILLISECONDS,
                          "milliseconds",
                          "",
                          "Time within which all instances refuse a key that was taken away; 5000"
                              + " if it is empty or 0."),
                      optional(
                          "strict-revoke",
                          OPTIONAL_FLAG,
                          "",
                          "",
                          "Whether an instance that could not know of newer keys for that time"
                              + " refuses calls that need one; false if it is empty."))),
              new SectionDefinition(
                  "quotas",
                  false,
                  "How exactly the quotas of tenants are kept.",
                  List.of(
                      optional(
                          "window-s",
                          new ValueType.OrDefault(SECONDS),
                          "seconds",
                          "8",
                          "Length of each window in which use is counted."),
                      optional(
                          "overage",
                          new ValueType.OrDefault(new ValueType.Decimal(0, 10)),
                          "",
                          "0.1",
                          "Ratio by which a quota may be exceeded in a window."),
                      optional(
                          "slack",
                          new ValueType.OrDefault(new ValueType.Decimal(0, 1_000_000_000)),
                          "units of the quota",
                          "0",
                          "Units that may be used in a window in addition."))),
              new SectionDefinition(
                  "log",
                  false,
                  "The log, written to standard output.",
                  List.of(
                      optional(
                          "level",
                          new ValueType.Choice(List.of("error", "warn", "info", "debug")),
                          "",
                          "info",
                          "Least severe level that is written.")))));

  private GatewaySettingsReader() {}

  /** Returns the schema of all sections and keys, from which the reference page is generated. */
  public static Schema schema() {
    return SCHEMA;
  }

  /**
   * Parses {@code text}; {@code file} is the file name that findings refer to.
   *
   * @throws MagnoliavaleException with all findings, if there are any
   */
  public static GatewaySettings read(String file, String text) {
    List<Finding> findings = new ArrayList<>();
    Map<String, CheckedSection> sections = SCHEMA.read(file, text, findings);
    if (!findings.isEmpty()) {
      throw MagnoliavaleException.ofFindings(findings);
    }
    CheckedSection instance = sections.get("instance");
    CheckedSection callers = sections.get("callers");
    CheckedSection peers = sections.get("peers");
    CheckedSection commands = sections.get("orders");
    CheckedSection retries = sections.get("repeats");
    CheckedSection quotas = sections.get("quotas");
    String host = peers.text("host");
    return new GatewaySettings(
        instance.text("id"),
        instance.text("data-centre"),
        processorPercent(sections.get("processor")),
        callers.address("address"),
        callers.address("readiness-address"),
        new InetSocketAddress(host, (int) peers.number("metrics-port")),
        new PeerSettings(
            new InetSocketAddress(host, (int) peers.number("port")),
            peers.text("shared-key"),
            Duration.ofMillis(peers.number("heartbeat-ms")),
            Duration.ofMillis(peers.number("silence-timeout-ms"))),
        sections.get("store").address("address"),
        Duration.ofMillis(commands.number("lease-ms")),
        Duration.ofSeconds(callers.number("grace-period-s")),
        retries.decimal("ratio"),
        retries.decimal("reserve"),
        Duration.ofSeconds(retries.number("window-s")),
        Duration.ofSeconds(commands.number("ceiling-window-s")),
        tenantSettings(sections.get("tenants")),
        new QuotaBounds(
            Duration.ofSeconds(quotas.number("window-s")),
            quotas.decimal("overage"),
            quotas.decimal("slack")),
        sections.get("log").text("level"));
  }

  private static int processorPercent(CheckedSection section) {
    return (int) Math.round(PERCENT * section.decimal("share") * section.decimal("cores"));
  }

  private static TenantSettings tenantSettings(CheckedSection section) {
    long revocationMs = section.number("revocation-ms");
    return new TenantSettings(
        revocationMs == 0
            ? TenantSettings.none().revocationTime()
            : Duration.ofMillis(revocationMs),
        section.flag("strict-revoke"));
  }
}
