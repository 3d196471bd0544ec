package org.magnoliavale.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.DirectoryReadResult;
import org.magnoliavale.internal.directory.DirectorySource;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.directory.LoadedModel;
import org.magnoliavale.internal.identifier.IdentifierRules;
import org.magnoliavale.internal.identifier.ServiceId;
import org.magnoliavale.internal.ini.Values;
import org.magnoliavale.internal.json.Json;

/** Reads the endpoint directory from the rows that the platform's workers write in the store. */
final class StoreDirectorySource implements DirectorySource {
  private static final String TABLE = "servers";
  private static final Set<String> STATES = Set.of("ready", "draining");

  private final StoreClient store;

  StoreDirectorySource(StoreClient store) {
    this.store = store;
  }

  @Override
  public DirectoryReadResult read() {
    return switch (store.readAll(TABLE, "")) {
      case StoreClient.Result.Success(var rows, long ignored) ->
          new DirectoryReadResult.Entries(decodeEntries(rows));
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

  private static List<DirectoryEntry> decodeEntries(List<StoreClient.StoredRow> rows) {
    List<DirectoryEntry> entries = new ArrayList<>();
    rows.forEach(row -> decodeEntry(row.key(), row.value()).ifPresent(entries::add));
    return entries;
  }

  /** Decodes a row; empty if it is malformed or not a worker's entry. */
  static Optional<DirectoryEntry> decodeEntry(String id, byte[] value) {
    try {
      JsonNode tree = Json.tree(value);
      String service = text(tree, "service");
      String address = text(tree, "address");
      String state = text(tree, "state");
      JsonNode sequence = tree.path("sequence");
      boolean valid =
          IdentifierRules.isValid(id)
              && IdentifierRules.isValid(service)
              && Values.isAddress(address)
              && STATES.contains(state)
              && (sequence.isMissingNode() || sequence.isIntegralNumber());
      if (!valid) {
        return Optional.empty();
      }
      return Optional.of(
          new DirectoryEntry(
              new EndpointIdentity(id, tree.path("born").asLong()),
              new ServiceId(service),
              Values.address(address),
              text(tree, "zone"),
              state.equals("draining"),
              tree.path("slots").asInt(1),
              // In a directory entry "sequence" counts heartbeats; in a report it counts commands.
              sequence.asLong(),
              decodeModels(tree.path("models")),
              decodeNames(tree.path("at-hand").path("in-memory")),
              decodeNames(tree.path("at-hand").path("on-disk"))));
    } catch (IOException e) {
      return Optional.empty();
    }
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
