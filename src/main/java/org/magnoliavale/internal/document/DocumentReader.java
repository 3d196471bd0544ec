package org.magnoliavale.internal.document;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.magnoliavale.Finding;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.identifier.AdapterId;
import org.magnoliavale.internal.identifier.DataCentreId;
import org.magnoliavale.internal.identifier.EndpointId;
import org.magnoliavale.internal.identifier.ModelId;
import org.magnoliavale.internal.identifier.PoolId;
import org.magnoliavale.internal.identifier.TeamId;
import org.magnoliavale.internal.ini.CheckedSection;
import org.magnoliavale.internal.ini.IniText;

/** Parses and validates the configuration document. All findings are reported together. */
public final class DocumentReader {
  private DocumentReader() {}

  /** Returns all findings about a document; empty if the document is valid. */
  public static List<Finding> check(String file, String text) {
    List<Finding> findings = new ArrayList<>();
    List<CheckedSection> sections = checkedSections(file, text, findings);
    new DocumentRules(sections).check();
    if (findings.isEmpty()) {
      MemoryFitRules.check(file, build(0, sections), findings);
    }
    return findings;
  }

  /**
   * Parses and validates {@code text}.
   *
   * @throws MagnoliavaleException with every finding, if there is any
   */
  public static Document read(String file, String text, long version) {
    List<Finding> findings = check(file, text);
    if (!findings.isEmpty()) {
      throw MagnoliavaleException.ofFindings(findings);
    }
    return readAccepted(file, text, version);
  }

  /**
   * Parses a text that was validated when it was accepted. Findings are ignored, so that an
   * accepted document stays usable after a newer version of the program adds rules.
   */
  public static Document readAccepted(String file, String text, long version) {
    List<Finding> ignored = new ArrayList<>();
    return build(version, checkedSections(file, text, ignored));
  }

  private static List<CheckedSection> checkedSections(
      String file, String text, List<Finding> findings) {
    return DocumentSchema.SCHEMA.check(IniText.parse(file, text, findings), findings);
  }

  private static Document build(long version, List<CheckedSection> sections) {
    Map<String, Contract> contracts = byName(sections, "contract", DocumentReader::contract);
    contracts.put("none", Contract.NONE);
    return new Document(
        version,
        mapKeys(byName(sections, "team", DocumentReader::team), TeamId::new),
        mapKeys(byName(sections, "data-centre", DocumentReader::dataCentre), DataCentreId::new),
        List.copyOf(byName(sections, "link", DocumentReader::link).values()),
        mapKeys(byName(sections, "pool", DocumentReader::pool), PoolId::new),
        mapKeys(
            byName(sections, "endpoint", section -> endpoint(section, contracts)), EndpointId::new),
        mapKeys(byName(sections, "model", DocumentReader::model), ModelId::new),
        byName(sections, "service", DocumentReader::service));
  }

  private static <T> Map<String, T> byName(
      List<CheckedSection> sections, String kind, Function<CheckedSection, T> reader) {
    Map<String, T> result = new HashMap<>();
    for (CheckedSection section : sections) {
      if (section.definition().kind().equals(kind)) {
        result.put(section.name(), reader.apply(section));
      }
    }
    return result;
  }

  private static <K, T> Map<K, T> mapKeys(Map<String, T> map, Function<String, K> key) {
    Map<K, T> result = new HashMap<>();
    map.forEach((name, value) -> result.put(key.apply(name), value));
    return result;
  }

  private static Team team(CheckedSection section) {
    return new Team(
        new TeamId(section.name()),
        section.list("token-sha256"),
        (int) section.number("concurrent-requests"));
  }

  private static DataCentre dataCentre(CheckedSection section) {
    return new DataCentre(new DataCentreId(section.name()), section.text("region"));
  }

  private static Link link(CheckedSection section) {
    return new Link(
        new DataCentreId(section.text("from")),
        new DataCentreId(section.text("to")),
        (int) section.number("one-way-microseconds"));
  }

  private static Contract contract(CheckedSection section) {
    return new Contract(
        section.name(),
        section.flag("checks-fencing"),
        section.flag("keeps-fence-over-restart"),
        Duration.ofMillis(section.number("order-lateness-ms")),
        section.flag("resumes-streams"));
  }

  private static Pool pool(CheckedSection section) {
    return new Pool(
        new PoolId(section.name()),
        section.text("kind").equals("engines"),
        section.decimal("move-price"),
        section.decimal("loads-per-second"),
        (int) section.number("loads-at-once"),
        (int) section.number("adapter-loads-at-once"));
  }

  private static Endpoint endpoint(CheckedSection section, Map<String, Contract> contracts) {
    return new Endpoint(
        new EndpointId(section.name()),
        new PoolId(section.text("pool")),
        new DataCentreId(section.text("data-centre")),
        section.address("address"),
        contracts.getOrDefault(section.text("contract"), Contract.NONE),
        section.number("memory-bytes"),
        section.number("kv-cache-bytes"),
        section.decimal("tokens-per-second"),
        (int) section.number("slots"),
        section.flag("leaving"));
  }

  private static Model model(CheckedSection section) {
    return new Model(
        new ModelId(section.name()),
        new PoolId(section.text("pool")),
        (int) section.number("version"),
        section.number("bytes"),
        section.list("adapters").stream().map(AdapterId::new).toList(),
        section.number("adapter-bytes"),
        (int) section.number("minimum-replicas"));
  }

  private static PlainService service(CheckedSection section) {
    return new PlainService(
        section.name(),
        new PoolId(section.text("pool")),
        section.list("idempotent-posts"),
        section.text("keyless-orders").equals("refuse"));
  }
}
