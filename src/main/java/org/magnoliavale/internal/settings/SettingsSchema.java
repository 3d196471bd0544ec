package org.magnoliavale.internal.settings;

import static org.magnoliavale.internal.ini.KeyDefinition.optional;
import static org.magnoliavale.internal.ini.KeyDefinition.required;

import java.util.List;
import java.util.regex.Pattern;
import org.magnoliavale.internal.ini.KeyDefinition;
import org.magnoliavale.internal.ini.Schema;
import org.magnoliavale.internal.ini.SectionDefinition;
import org.magnoliavale.internal.ini.ValueType;

/** The sections and keys of an instance's settings file. */
public final class SettingsSchema {
  private static final ValueType.Name NAME = new ValueType.Name();
  private static final ValueType.Address ADDRESS = new ValueType.Address();
  private static final ValueType.Text HASH =
      new ValueType.Text("64 hexadecimal digits, or nothing", Pattern.compile("([0-9a-f]{64})?"));
  private static final ValueType.Text KEY =
      new ValueType.Text("at least 16 characters", Pattern.compile(".{16,}"));
  private static final long HOUR_MS = 3_600_000;
  private static final long MEBIBYTE = 1024L * 1024;

  /** Schema of the settings file. */
  public static final Schema SCHEMA =
      new Schema(
          List.of(instance(), caller(), operator(), peer(), platform(), engine(), logging()));

  private SettingsSchema() {}

  private static SectionDefinition instance() {
    return new SectionDefinition(
        "instance",
        false,
        "The instance itself.",
        List.of(
            required("id", NAME, "", "Name of the instance, unique in the fleet."),
            required("data-centre", NAME, "", "Data centre that the instance runs in.")));
  }

  private static SectionDefinition caller() {
    return new SectionDefinition(
        "caller",
        false,
        "The port for callers.",
        List.of(
            required("address", ADDRESS, "", "Where callers connect."),
            wholeNumber(
                "maximum-body-bytes", 1, 64 * MEBIBYTE, "bytes", 1_048_576, "Largest body."),
            wholeNumber(
                "maximum-header-bytes", 1_024, MEBIBYTE, "bytes", 16_384, "Largest header block."),
            wholeNumber(
                "maximum-requests",
                1,
                1_000_000,
                "requests",
                4_000,
                "Requests in progress at once; more are refused."),
            wholeNumber(
                "default-deadline-ms",
                1,
                HOUR_MS,
                "ms",
                60_000,
                "Deadline of a request that names none."),
            wholeNumber(
                "idle-timeout-ms",
                10,
                HOUR_MS,
                "ms",
                30_000,
                "A caller that sends or takes nothing for so long is cut off."),
            wholeNumber(
                "drain-wait-ms",
                0,
                HOUR_MS,
                "ms",
                3_000,
                "Wait between failing readiness and refusing new work."),
            wholeNumber(
                "drain-timeout-ms",
                0,
                HOUR_MS,
                "ms",
                600_000,
                "Longest wait for requests in flight when stopping.")));
  }

  private static SectionDefinition operator() {
    return new SectionDefinition(
        "operator",
        false,
        "The port for operators.",
        List.of(
            required("address", ADDRESS, "", "Where operators and scrapers connect."),
            optional(
                "administrator-token-sha256",
                HASH,
                "",
                "",
                "Hash of the token that may change every section; empty for none.")));
  }

  private static SectionDefinition peer() {
    return new SectionDefinition(
        "peer",
        false,
        "The port for other instances.",
        List.of(
            required("address", ADDRESS, "", "Where other instances connect."),
            required("shared-key", KEY, "", "Key that all instances of the fleet share."),
            wholeNumber(
                "heartbeat-ms", 50, 60_000, "ms", 1_000, "Time between heartbeats to a peer."),
            wholeNumber(
                "silence-timeout-ms",
                200,
                600_000,
                "ms",
                4_000,
                "A link that is silent for so long is replaced.")));
  }

  private static SectionDefinition platform() {
    return new SectionDefinition(
        "platform",
        false,
        "The platform's table and instance list.",
        List.of(
            required("address", ADDRESS, "", "Where the platform's service listens."),
            wholeNumber("timeout-ms", 10, 60_000, "ms", 2_000, "Longest wait for an answer."),
            wholeNumber(
                "fleet-reads-per-second",
                1,
                100_000,
                "reads/s",
                1_000,
                "Table reads that the whole fleet may make."),
            wholeNumber(
                "fleet-writes-per-second",
                1,
                100_000,
                "writes/s",
                200,
                "Table writes that the whole fleet may make."),
            wholeNumber(
                "document-poll-ms",
                50,
                60_000,
                "ms",
                500,
                "Time between two looks at the document's version by the fleet as a whole."),
            wholeNumber(
                "lease-ms",
                1_000,
                600_000,
                "ms",
                6_000,
                "Length of a placement lease; an instance's death is made up for within it."),
            wholeNumber(
                "clock-drift-ms",
                0,
                60_000,
                "ms",
                500,
                "Largest difference between two instances' clocks.")));
  }

  private static SectionDefinition engine() {
    return new SectionDefinition(
        "engine",
        false,
        "Connections to endpoints.",
        List.of(
            wholeNumber(
                "connections-per-endpoint",
                1,
                10_000,
                "connections",
                512,
                "Connections to one endpoint at once."),
            wholeNumber("connect-timeout-ms", 1, 60_000, "ms", 1_000, "Longest wait to connect."),
            wholeNumber(
                "first-byte-timeout-ms",
                1,
                HOUR_MS,
                "ms",
                30_000,
                "Longest wait for the first byte of an answer."),
            wholeNumber(
                "progress-timeout-ms",
                1,
                HOUR_MS,
                "ms",
                10_000,
                "Longest wait between two parts of an answer."),
            wholeNumber(
                "idle-connection-ms",
                1,
                HOUR_MS,
                "ms",
                5_000,
                "An idle connection is retired after so long."),
            wholeNumber(
                "report-interval-ms",
                10,
                60_000,
                "ms",
                250,
                "Time between two reads of an endpoint's report."),
            wholeNumber(
                "maximum-answer-bytes",
                1_024,
                1_024 * MEBIBYTE,
                "bytes",
                16 * MEBIBYTE,
                "Largest answer that is not streamed.")));
  }

  private static SectionDefinition logging() {
    return new SectionDefinition(
        "log",
        false,
        "The log, written to standard error.",
        List.of(
            optional(
                "level",
                new ValueType.Choice(List.of("error", "warn", "info", "debug")),
                "",
                "info",
                "Least important level that is written.")));
  }

  private static KeyDefinition wholeNumber(
      String name, long minimum, long maximum, String unit, long defaultValue, String meaning) {
    ValueType type = new ValueType.WholeNumber(minimum, maximum);
    return optional(name, type, unit, Long.toString(defaultValue), meaning);
  }
}
