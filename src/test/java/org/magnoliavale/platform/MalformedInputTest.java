package org.magnoliavale.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.magnoliavale.internal.json.Json;

/**
 * Decoders of what other programs write in the store return nothing or throw {@link IOException}
 * for malformed input, whatever it is; other exceptions would end the loop that reads it.
 */
class MalformedInputTest {
  /** Stand for what cannot be written from a tree, and are replaced in the text. */
  private static final String HUGE_NUMBER = "huge-number";

  private static final String DEEPLY_NESTED = "deeply-nested";
  private static final int MAXIMUM_DIGITS = 5_000;
  private static final int MAXIMUM_NESTING = 20_000;

  private static final String ENTRY =
      """
      {"service":"assistant","address":"10.1.0.1:80","zone":"a","version":"v1","slots":8,
       "state":"ready","cold-remaining-ms":0,"stage":"x","sequence":4,"born":7,
       "models":[{"name":"m1","version":1,"adapters":["a1@1"]}],
       "at-hand":{"in-memory":["m1"],"on-disk":["m2"]}}
      """;

  private static final String CONFIGURATION =
      """
      {"version":7,"limits":{"body-bytes":100},
       "routes":[{"name":"r","host":"h.example","prefix":"/p/","kind":"stream","timeout-ms":2500,
         "target-latency-ms":600,"priority":1,"service":"s","attempts":2,"resumable":true,
         "split":[{"service":"s","weight":1.5}]}],
       "services":[{"name":"s","connection-limit":9,"engine":{"slots":4,"kv-cache-tokens":90,
         "weights-mb":220,"adapter-slots":8,"loads-per-s":1.1,"models":[{"name":"m1",
         "weights-mb":70,"load-s":8,"disk-s":1,"warm-s":0.5,"adapters":3,"adapter-mb":1}]}}]}
      """;

  @Property(tries = 2_000, seed = "20261204")
  void directoryEntriesNeverThrow(@ForAll long seed) {
    byte[] malformed = mutate(ENTRY, seed);
    assertThatCode(() -> StoreDirectorySource.decodeEntry("i-1", malformed))
        .doesNotThrowAnyException();
  }

  /**
   * Guards against an odd entry that is taken for an endpoint, and then ends or stops whatever
   * works with the entries.
   */
  @Property(tries = 2_000, seed = "20261205")
  void directoryEntriesThatAreDecodedCanBeUsed(@ForAll long seed) {
    StoreDirectorySource.decodeEntry("i-1", mutate(ENTRY, seed))
        .ifPresent(
            entry -> {
              assertThat(entry.address().isUnresolved()).isFalse();
              assertThat(entry.address().getPort()).isPositive();
              assertThat(entry.slots()).isPositive();
              assertThat(entry.heartbeat()).isNotNegative();
              assertThat(entry.identity().startedAtMs()).isNotNegative();
            });
  }

  @Property(tries = 2_000, seed = "20261204")
  void configurationsThrowOnlyTheDeclaredException(@ForAll long seed) {
    byte[] malformed = mutate(CONFIGURATION, seed);
    assertThatCode(
            () -> {
              try {
                ConfigurationDecoder.decode(malformed);
              } catch (IOException expected) {
                // The declared outcome of malformed input.
              }
            })
        .doesNotThrowAnyException();
  }

  /** Replaces or removes some values of a JSON text, or cuts off its end. */
  private static byte[] mutate(String json, long seed) {
    Random random = new Random(seed);
    try {
      JsonNode tree = Json.tree(json.getBytes(StandardCharsets.UTF_8));
      for (int change = 0; change <= random.nextInt(3); change++) {
        mutateOne(tree, random);
      }
      int depth = random.nextInt(MAXIMUM_NESTING);
      byte[] bytes =
          Json.text(tree)
              .replace('"' + HUGE_NUMBER + '"', "9".repeat(1 + random.nextInt(MAXIMUM_DIGITS)))
              .replace('"' + DEEPLY_NESTED + '"', "[".repeat(depth) + "]".repeat(depth))
              .getBytes(StandardCharsets.UTF_8);
      boolean cut = random.nextInt(10) == 0;
      return cut ? java.util.Arrays.copyOf(bytes, random.nextInt(bytes.length)) : bytes;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void mutateOne(JsonNode tree, Random random) {
    List<JsonNode> containers = new ArrayList<>();
    collectContainers(tree, containers);
    JsonNode container = containers.get(random.nextInt(containers.size()));
    if (container.isEmpty()) {
      return;
    }
    int index = random.nextInt(container.size());
    if (container instanceof ArrayNode array) {
      array.set(index, randomValue(random));
    } else if (container instanceof ObjectNode object) {
      List<String> names = new ArrayList<>();
      object.fieldNames().forEachRemaining(names::add);
      if (random.nextBoolean()) {
        object.set(names.get(index), randomValue(random));
      } else {
        object.remove(names.get(index));
      }
    }
  }

  private static void collectContainers(JsonNode node, List<JsonNode> containers) {
    if (node.isContainerNode()) {
      containers.add(node);
      node.forEach(child -> collectContainers(child, containers));
    }
  }

  private static JsonNode randomValue(Random random) {
    JsonNodeFactory factory = JsonNodeFactory.instance;
    return switch (random.nextInt(16)) {
      case 0 -> factory.nullNode();
      case 1 -> factory.numberNode(Long.MAX_VALUE);
      case 2 -> factory.numberNode(-1);
      case 3 -> factory.numberNode(Double.MAX_VALUE);
      case 4 -> factory.textNode("");
      case 5 -> factory.textNode("\u0000 :/@,");
      case 6 -> factory.booleanNode(true);
      case 7 -> factory.arrayNode();
      case 8 -> factory.arrayNode().add(factory.nullNode()).add("x");
      case 9 -> factory.textNode("10.1.0.1:99999");
      case 10 -> factory.textNode("10.1.0.999:80");
      case 11 -> factory.textNode("[::::]:80");
      case 12 -> factory.textNode(HUGE_NUMBER);
      case 13 -> factory.numberNode(-Double.MAX_VALUE);
      case 14 -> factory.textNode(DEEPLY_NESTED);
      default -> factory.objectNode().put("name", 3);
    };
  }
}
