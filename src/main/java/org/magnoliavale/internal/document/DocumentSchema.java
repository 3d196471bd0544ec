package org.magnoliavale.internal.document;

import static org.magnoliavale.internal.ini.KeyDefinition.optional;
import static org.magnoliavale.internal.ini.KeyDefinition.required;

import java.util.List;
import java.util.regex.Pattern;
import org.magnoliavale.internal.ini.KeyDefinition;
import org.magnoliavale.internal.ini.Schema;
import org.magnoliavale.internal.ini.SectionDefinition;
import org.magnoliavale.internal.ini.ValueType;

/** The sections and keys of the configuration document. */
public final class DocumentSchema {
  private static final ValueType.Name NAME = new ValueType.Name();
  private static final ValueType.Names NAMES = new ValueType.Names();
  private static final ValueType.Flag FLAG = new ValueType.Flag();
  private static final ValueType.Address ADDRESS = new ValueType.Address();
  private static final ValueType.WholeNumber BYTES =
      new ValueType.WholeNumber(1, 1_000_000_000_000_000L);
  private static final ValueType.WholeNumber MILLISECONDS =
      new ValueType.WholeNumber(0, 86_400_000);
  private static final ValueType.Text HASHES =
      new ValueType.Text(
          "one or two hashes of 64 hexadecimal digits, separated by a comma",
          Pattern.compile("[0-9a-f]{64}(\\s*,\\s*[0-9a-f]{64})?"));
  private static final KeyDefinition OWNER =
      required("owner", NAME, "", "Team that may change this section.");

  /** Schema of the document. */
  public static final Schema SCHEMA =
      new Schema(
          List.of(
              team(), dataCentre(), link(), contract(), pool(), endpoint(), model(), service()));

  private DocumentSchema() {}

  private static SectionDefinition team() {
    return new SectionDefinition(
        "team",
        true,
        "A team of operators and the callers it is responsible for. It owns its own section.",
        List.of(
            required(
                "token-sha256",
                HASHES,
                "",
                "SHA-256 hash of the team's token; two hashes during token rotation."),
            optional(
                "concurrent-requests",
                new ValueType.WholeNumber(1, 1_000_000),
                "requests",
                "1000",
                "Maximum concurrent requests of the team across the fleet.")));
  }

  private static SectionDefinition dataCentre() {
    return new SectionDefinition(
        "data-centre",
        true,
        "A data centre.",
        List.of(OWNER, required("region", NAME, "", "Region that the data centre is in.")));
  }

  private static SectionDefinition link() {
    return new SectionDefinition(
        "link",
        true,
        "The network between two data centres, symmetric in both directions.",
        List.of(
            OWNER,
            required("from", NAME, "", "First data centre."),
            required("to", NAME, "", "Second data centre."),
            required(
                "one-way-microseconds",
                new ValueType.WholeNumber(0, 10_000_000),
                "µs",
                "One-way latency.")));
  }

  private static SectionDefinition contract() {
    return new SectionDefinition(
        "contract",
        true,
        "Guarantees of a type of endpoint. A guarantee that is not listed is not given.",
        List.of(
            OWNER,
            optional(
                "checks-fencing",
                FLAG,
                "",
                "false",
                "The engine rejects a command whose fencing token is lower than one it has seen."),
            optional(
                "keeps-fence-over-restart",
                FLAG,
                "",
                "false",
                "The engine retains the highest fencing token across restarts."),
            optional(
                "order-lateness-ms",
                MILLISECONDS,
                "ms",
                "60000",
                "Maximum delay of a command after the latest time at which it may be sent."),
            optional(
                "resumes-streams",
                FLAG,
                "",
                "false",
                "The engine can resume a stream from a given token.")));
  }

  private static SectionDefinition pool() {
    return new SectionDefinition(
        "pool",
        true,
        "A pool: endpoints whose placement is managed under one lease.",
        List.of(
            OWNER,
            required(
                "kind",
                new ValueType.Choice(List.of("engines", "services")),
                "",
                "Type of the endpoints."),
            optional(
                "move-price",
                new ValueType.Decimal(0, 1_000_000),
                "requests",
                "10",
                "Cost of a move; a move must gain more requests answered in time than this."),
            optional(
                "loads-per-second",
                new ValueType.Decimal(0.01, 1_000),
                "loads/s",
                "1",
                "Rate at which the weight store serves model loads."),
            optional(
                "loads-at-once",
                new ValueType.WholeNumber(1, 1_000),
                "loads",
                "9",
                "Maximum concurrent model loads at full speed."),
            optional(
                "adapter-loads-at-once",
                new ValueType.WholeNumber(1, 10_000),
                "loads",
                "70",
                "Maximum concurrent adapter loads.")));
  }

  private static SectionDefinition endpoint() {
    return new SectionDefinition(
        "endpoint",
        true,
        "An endpoint: one worker of an engine pool, or one server of a plain service.",
        List.of(
            OWNER,
            required("pool", NAME, "", "Pool that the endpoint belongs to."),
            required("data-centre", NAME, "", "Data centre that the endpoint is in."),
            required("address", ADDRESS, "", "Listen address of the endpoint."),
            optional(
                "contract",
                NAME,
                "",
                "none",
                "Contract of the endpoint; `none` gives no guarantees."),
            optional("memory-bytes", BYTES, "bytes", "1", "Accelerator memory."),
            optional(
                "kv-cache-bytes",
                new ValueType.WholeNumber(0, 1_000_000_000_000_000L),
                "bytes",
                "0",
                "Accelerator memory reserved for the KV cache."),
            optional(
                "tokens-per-second",
                new ValueType.Decimal(0.1, 10_000_000),
                "tokens/s",
                "1000",
                "Nominal throughput; a measured value takes precedence."),
            optional(
                "slots",
                new ValueType.WholeNumber(1, 100_000),
                "requests",
                "16",
                "Requests that the endpoint processes concurrently."),
            optional("leaving", FLAG, "", "false", "The endpoint is to be drained.")));
  }

  private static SectionDefinition model() {
    return new SectionDefinition(
        "model",
        true,
        "A model.",
        List.of(
            OWNER,
            required("pool", NAME, "", "Pool of engines that serves the model."),
            optional(
                "version", new ValueType.WholeNumber(1, 1_000_000), "", "1", "Version to serve."),
            required("bytes", BYTES, "bytes", "Size of the model's weights in memory."),
            optional("adapters", NAMES, "", "", "Adapters of the model."),
            optional("adapter-bytes", BYTES, "bytes", "1", "Size of one adapter in memory."),
            optional(
                "minimum-replicas",
                new ValueType.WholeNumber(1, 1_000),
                "replicas",
                "1",
                "Minimum number of replicas, independent of demand.")));
  }

  private static SectionDefinition service() {
    return new SectionDefinition(
        "service",
        true,
        "A plain service, available at /services/NAME/.",
        List.of(
            OWNER,
            required("pool", NAME, "", "Pool of servers that run the service."),
            optional(
                "idempotent-posts",
                new ValueType.Text(
                    "paths separated by commas, or nothing", Pattern.compile("(/[^\\s]*)?")),
                "",
                "",
                "Paths whose POST requests are idempotent; no other POST or PATCH request is."),
            optional(
                "keyless-orders",
                new ValueType.Choice(List.of("refuse", "send-once")),
                "",
                "refuse",
                "Handling of a non-idempotent request without an Idempotency-Key.")));
  }
}
