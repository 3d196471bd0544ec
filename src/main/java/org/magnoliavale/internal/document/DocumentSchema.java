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
        "A team of operators and the callers that it answers for. It owns its own section.",
        List.of(
            required(
                "token-sha256",
                HASHES,
                "",
                "Hash of the team's token; two while a token is being replaced."),
            optional(
                "concurrent-requests",
                new ValueType.WholeNumber(1, 1_000_000),
                "requests",
                "1000",
                "Requests of the team in progress at once, over the whole fleet.")));
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
        "The network between two data centres, the same in both directions.",
        List.of(
            OWNER,
            required("from", NAME, "", "One data centre."),
            required("to", NAME, "", "The other data centre."),
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
        "What a kind of endpoint promises. What is not said is not promised.",
        List.of(
            OWNER,
            optional(
                "checks-fencing",
                FLAG,
                "",
                "false",
                "The engine refuses an order whose fencing number is lower than one it has seen."),
            optional(
                "keeps-fence-over-restart",
                FLAG,
                "",
                "false",
                "The engine remembers the highest fencing number when it restarts."),
            optional(
                "order-lateness-ms",
                MILLISECONDS,
                "ms",
                "60000",
                "An order arrives at the latest so long after the last moment it may be sent."),
            optional(
                "resumes-streams",
                FLAG,
                "",
                "false",
                "The engine continues a stream from a given token.")));
  }

  private static SectionDefinition pool() {
    return new SectionDefinition(
        "pool",
        true,
        "A pool: endpoints that are placed together under one lease.",
        List.of(
            OWNER,
            required(
                "kind",
                new ValueType.Choice(List.of("engines", "services")),
                "",
                "What the endpoints are."),
            optional(
                "move-price",
                new ValueType.Decimal(0, 1_000_000),
                "requests",
                "10",
                "Requests answered in time that a move must bring to be worth it."),
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
                "Model loads that run at once at full speed."),
            optional(
                "adapter-loads-at-once",
                new ValueType.WholeNumber(1, 10_000),
                "loads",
                "70",
                "Adapter loads in flight at once.")));
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
            required("address", ADDRESS, "", "Where the endpoint listens."),
            optional("contract", NAME, "", "none", "Contract; `none` promises nothing."),
            optional("memory-bytes", BYTES, "bytes", "1", "Accelerator memory."),
            optional(
                "kv-cache-bytes",
                new ValueType.WholeNumber(0, 1_000_000_000_000_000L),
                "bytes",
                "0",
                "Part of the memory kept for the KV cache."),
            optional(
                "tokens-per-second",
                new ValueType.Decimal(0.1, 10_000_000),
                "tokens/s",
                "1000",
                "Nominal speed; what is measured goes before it."),
            optional(
                "slots",
                new ValueType.WholeNumber(1, 100_000),
                "requests",
                "16",
                "Requests that the endpoint works on at once."),
            optional("leaving", FLAG, "", "false", "The endpoint is to be emptied.")));
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
                "version",
                new ValueType.WholeNumber(1, 1_000_000),
                "",
                "1",
                "Version that is to be served."),
            required("bytes", BYTES, "bytes", "Memory of the model's weights."),
            optional("adapters", NAMES, "", "", "Adapters of the model."),
            optional("adapter-bytes", BYTES, "bytes", "1", "Memory of one adapter."),
            optional(
                "minimum-replicas",
                new ValueType.WholeNumber(1, 1_000),
                "replicas",
                "1",
                "Replicas that are kept whatever the demand.")));
  }

  private static SectionDefinition service() {
    return new SectionDefinition(
        "service",
        true,
        "A plain service, reached at /services/NAME/.",
        List.of(
            OWNER,
            required("pool", NAME, "", "Pool of servers that runs the service."),
            optional(
                "idempotent-posts",
                new ValueType.Text(
                    "paths separated by commas, or nothing", Pattern.compile("(/[^\\s]*)?")),
                "",
                "",
                "Paths whose POST calls may be repeated; no other POST or PATCH may."),
            optional(
                "keyless-orders",
                new ValueType.Choice(List.of("refuse", "send-once")),
                "",
                "refuse",
                "What happens to a call that may not be repeated and has no Idempotency-Key.")));
  }
}
