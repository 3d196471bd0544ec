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
        "Identity of the instance.",
        List.of(
            required("id", NAME, "", "Name of the instance, unique in the fleet."),
            required("data-centre", NAME, "", "Data centre that the instance runs in.")));
  }

  private static SectionDefinition caller() {
    return new SectionDefinition(
        "caller",
        false,
        "Port for callers.",
        List.of(
            required("address", ADDRESS, "", "Listen address for callers."),
            wholeNumber(
                "maximum-body-bytes",
                1,
                64 * MEBIBYTE,
                "bytes",
                1_048_576,
                "Maximum size of a request body."),
            wholeNumber(
                "maximum-header-bytes",
                1_024,
                MEBIBYTE,
                "bytes",
                16_384,
                "Maximum size of a header block."),
            wholeNumber(
                "maximum-requests",
                1,
                1_000_000,
                "requests",
                4_000,
                "Maximum concurrent requests; further requests are rejected."),
            wholeNumber(
                "default-deadline-ms",
                1,
                HOUR_MS,
                "ms",
                60_000,
                "Deadline of a request that specifies none."),
            wholeNumber(
                "idle-timeout-ms",
                10,
                HOUR_MS,
                "ms",
                30_000,
                "Time without progress after which a caller's connection is closed."),
            wholeNumber(
                "drain-wait-ms",
                0,
                HOUR_MS,
                "ms",
                3_000,
                "Delay between failing readiness and rejecting new requests."),
            wholeNumber(
                "drain-timeout-ms",
                0,
                HOUR_MS,
                "ms",
                600_000,
                "Maximum wait for requests in flight during shutdown.")));
  }

  private static SectionDefinition operator() {
    return new SectionDefinition(
        "operator",
        false,
        "Port for operators.",
        List.of(
            required("address", ADDRESS, "", "Listen address for operators and metrics scrapers."),
            optional(
                "administrator-token-sha256",
                HASH,
                "",
                "",
                "SHA-256 hash of the token that may change every section; empty for none.")));
  }

  private static SectionDefinition peer() {
    return new SectionDefinition(
        "peer",
        false,
        "Port for other instances.",
        List.of(
            required("address", ADDRESS, "", "Listen address for other instances."),
            required("shared-key", KEY, "", "Key shared by all instances of the fleet."),
            wholeNumber(
                "heartbeat-ms", 50, 60_000, "ms", 1_000, "Interval between heartbeats to a peer."),
            wholeNumber(
                "silence-timeout-ms",
                200,
                600_000,
                "ms",
                4_000,
                "Time without received data after which a link is replaced.")));
  }

  private static SectionDefinition platform() {
    return new SectionDefinition(
        "platform",
        false,
        "The platform's table and instance list.",
        List.of(
            required("address", ADDRESS, "", "Address of the platform's service."),
            wholeNumber("timeout-ms", 10, 60_000, "ms", 2_000, "Response timeout."),
            wholeNumber(
                "fleet-reads-per-second",
                1,
                100_000,
                "reads/s",
                1_000,
                "Maximum rate of table reads of the whole fleet."),
            wholeNumber(
                "fleet-writes-per-second",
                1,
                100_000,
                "writes/s",
                200,
                "Maximum rate of table writes of the whole fleet."),
            wholeNumber(
                "document-poll-ms",
                50,
                60_000,
                "ms",
                500,
                "Polling interval of the document version, for the fleet as a whole."),
            wholeNumber(
                "lease-ms",
                1_000,
                600_000,
                "ms",
                6_000,
                "Duration of a placement lease; upper bound for recovery from a failed instance."),
            wholeNumber(
                "clock-drift-ms",
                0,
                60_000,
                "ms",
                500,
                "Maximum difference between the clocks of two instances.")));
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
                "Maximum concurrent connections to one endpoint."),
            wholeNumber("connect-timeout-ms", 1, 60_000, "ms", 1_000, "Connection timeout."),
            wholeNumber(
                "first-byte-timeout-ms",
                1,
                HOUR_MS,
                "ms",
                30_000,
                "Timeout for the first byte of a response."),
            wholeNumber(
                "progress-timeout-ms",
                1,
                HOUR_MS,
                "ms",
                10_000,
                "Maximum time between two parts of a response."),
            wholeNumber(
                "idle-connection-ms",
                1,
                HOUR_MS,
                "ms",
                5_000,
                "Idle time after which a connection is closed."),
            wholeNumber(
                "report-interval-ms",
                10,
                60_000,
                "ms",
                250,
                "Interval at which an endpoint's report is polled."),
            wholeNumber(
                "maximum-answer-bytes",
                1_024,
                1_024 * MEBIBYTE,
                "bytes",
                16 * MEBIBYTE,
                "Maximum size of a non-streamed response.")));
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
                "Least severe level that is written.")));
  }

  private static KeyDefinition wholeNumber(
      String name, long minimum, long maximum, String unit, long defaultValue, String meaning) {
    ValueType type = new ValueType.WholeNumber(minimum, maximum);
    return optional(name, type, unit, Long.toString(defaultValue), meaning);
  }
}
