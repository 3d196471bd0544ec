package org.magnoliavale.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.DirectoryReadResult;
import org.magnoliavale.internal.directory.DirectorySource;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.directory.LoadedModel;
import org.magnoliavale.internal.directory.SoftwareVersion;
import org.magnoliavale.internal.identifier.IdentifierRules;
import org.magnoliavale.internal.identifier.ServiceId;
import org.magnoliavale.internal.ini.Values;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.logging.Logs;

/**
 * Reads the endpoint directory from the rows that the platform's workers write in the store. Rows
 * that are not a worker's entry are ignored; other programs may write there. Used by one thread.
 */
final class StoreDirectorySource implements DirectorySource {
  private static final Logger LOG = Logs.of("directory");
  private static final String TABLE = "servers";
  private static final int MAXIMUM_LOGGED_KEYS = 10;

  /** Longest version of a worker's software, in characters. */
  private static final int MAXIMUM_VERSION_LENGTH = 128;

  private static final Set<String> STATES = Set.of("ready", "draining");

  private final StoreClient store;
  private final DirectoryEntryDecoder decoder = new DirectoryEntryDecoder();
  private Set<String> malformedKeys = Set.of();

  StoreDirectorySource(StoreClient store) {
    this.store = store;
  }

  @Override
  public DirectoryReadResult read() {
    return switch (store.readAll(TABLE, "")) {
      case StoreClient.Result.Success(var rows, long ignored, long generation) ->
          new DirectoryReadResult.Entries(decodeEntries(rows), generation);
      case StoreClient.Result.Unavailable(String reason) ->
          new DirectoryReadResult.Unavailable(reason);
      case StoreClient.Result.OutcomeUnknown(String reason) ->
          new DirectoryReadResult.Unavailable(reason);
      case StoreClient.Result.ConditionFailed(var ignored) ->
          new DirectoryReadResult.Unavailable("unexpected response: condition failed");
      case StoreClient.Result.HistoryUnavailable() ->
          new DirectoryReadResult.Unavailable("change history no longer available");
    };
  }

  private List<DirectoryEntry> decodeEntries(List<StoreClient.StoredRow> rows) {
    List<DirectoryEntry> entries = new ArrayList<>();
    Set<String> malformed = new TreeSet<>();
    for (StoreClient.StoredRow row : rows) {
      decoder
          .decode(row.key(), row.value())
          .ifPresentOrElse(entries::add, () -> malformed.add(row.key()));
    }
    decoder.retain(rows);
    logChange(malformed);
    return entries;
  }

  /** Logs the malformed entries whenever they change; they stay in the store for long. */
  private void logChange(Set<String> malformed) {
    if (malformed.equals(malformedKeys)) {
      return;
    }
    malformedKeys = malformed;
    LOG.warnf(
        "Malformed entries are ignored. count=%d keys=%s",
        malformed.size(), malformed.stream().limit(MAXIMUM_LOGGED_KEYS).toList());
  }

  /** Decodes a row; empty if it is malformed or not a worker's entry. */
  static Optional<DirectoryEntry> decodeEntry(String id, byte[] value) {
    try {
      JsonNode tree = Json.tree(value);
      return isValid(id, tree) ? Optional.of(toEntry(id, tree)) : Optional.empty();
    } catch (IOException | RuntimeException e) {
      // Another program may have written the row; whatever it is, the other rows count.
      return Optional.empty();
    }
  }

  private static boolean isValid(String id, JsonNode tree) {
    String address = text(tree, "address");
    return IdentifierRules.isValid(id)
        && IdentifierRules.isValid(text(tree, "service"))
        && Values.isAddress(address)
        && Values.address(address).getPort() > 0
        && STATES.contains(text(tree, "state"))
        && isNumber(tree.path("slots"), 1, Integer.MAX_VALUE)
        && isNumber(tree.path("sequence"), 0, Long.MAX_VALUE)
        && (tree.path("born").isMissingNode() || isNumber(tree.path("born"), 0, Long.MAX_VALUE))
        && isVersion(tree.path("version"))
        && (tree.path("models").isMissingNode() || tree.path("models").isArray());
  }

  private static boolean isVersion(JsonNode node) {
    return node.isMissingNode()
        || node.isTextual() && node.asText().length() <= MAXIMUM_VERSION_LENGTH;
  }

  private static boolean isNumber(JsonNode node, long minimum, long maximum) {
    return node.isIntegralNumber()
        && node.canConvertToLong()
        && node.asLong() >= minimum
        && node.asLong() <= maximum;
  }

  private static DirectoryEntry toEntry(String id, JsonNode tree) {
    return new DirectoryEntry(
        new EndpointIdentity(id, tree.path("born").asLong()),
        new ServiceId(text(tree, "service")),
        softwareVersion(tree),
        Values.address(text(tree, "address")),
        text(tree, "zone"),
        text(tree, "state").equals("draining"),
        tree.path("slots").asInt(),
        // In a directory entry "sequence" counts heartbeats; in a report it counts commands.
        tree.path("sequence").asLong(),
        decodeModels(tree.path("models")),
        decodeNames(tree.path("at-hand").path("in-memory")),
        decodeNames(tree.path("at-hand").path("on-disk")));
  }

  /** In a directory entry "version" is that of the software; in a model, that of its weights. */
  private static SoftwareVersion softwareVersion(JsonNode tree) {
    String text = text(tree, "version");
    return text.isEmpty() ? SoftwareVersion.UNSTATED : new SoftwareVersion(text);
  }

  private static String text(JsonNode tree, String key) {
    JsonNode node = tree.path(key);
    return node.isTextual() ? node.asText() : "";
  }

  /** Decodes a worker's resident models; directory entries and reports use the same format. */
  static Map<String, LoadedModel> decodeModels(JsonNode list) {
    List<LoadedModel> models = new ArrayList<>();
    for (JsonNode model : list) {
      models.add(new LoadedModel(model.path("name").asText(), decodeNames(model.path("adapters"))));
    }
    return DirectoryEntry.byName(models);
  }

  private static Set<String> decodeNames(JsonNode list) {
    Set<String> names = new HashSet<>();
    for (JsonNode name : list) {
      // An adapter may be listed as name@version; commands use the name only.
      String text = name.isTextual() ? name.asText() : name.path("name").asText();
      int version = text.indexOf('@');
      names.add(version < 0 ? text : text.substring(0, version));
    }
    return names;
  }
}
