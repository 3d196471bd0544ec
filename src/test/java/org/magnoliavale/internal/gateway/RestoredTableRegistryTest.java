package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.platform.ListedInstance;

/** Instances whose rows are lost when the table is restored from a copy. */
class RestoredTableRegistryTest {
  /** Time after which an instance must be listed again: that of two reads. */
  private static final int LISTED_AGAIN_MS = 8_000;

  private static final int STEP_MS = 100;

  private final FakeTable table = new FakeTable();
  private long nowMs = 100_000;

  private InstanceRegistry registry(String id) {
    return new InstanceRegistry(
        table,
        id,
        () -> new ListedInstance(id, "10.0.0.1:1", "live", "east"),
        () -> TimeUnit.MILLISECONDS.toNanos(nowMs));
  }

  private static List<String> ids(InstanceRegistry registry) {
    return registry.read().orElseThrow().stream().map(ListedInstance::id).toList();
  }

  @Test
  void areListedAgainWithinTwoReads() {
    InstanceRegistry first = registry("first");
    InstanceRegistry second = registry("second");
    ids(first);
    FakeTable copy = table.copy();
    ids(second);
    nowMs += 1_000;
    assertThat(ids(first)).containsExactly("first", "second");
    table.restore(copy);
    InstanceRegistry third = registry("third");
    for (int waited = 0; waited < LISTED_AGAIN_MS; waited += STEP_MS) {
      nowMs += STEP_MS;
      ids(first);
      ids(second);
      ids(third);
    }
    assertThat(ids(first)).containsExactly("first", "second", "third");
    assertThat(ids(third)).containsExactly("first", "second", "third");
  }

  @Test
  void thatHadLeftAreNotListedForLongThoughTheirRowsAreBack() {
    InstanceRegistry first = registry("first");
    InstanceRegistry second = registry("second");
    ids(first);
    ids(second);
    FakeTable copy = table.copy();
    ids(first);
    second.deregister();
    nowMs += 5_000;
    assertThat(ids(first)).containsExactly("first");
    table.restore(copy);
    for (int waited = 0; waited < 40_000; waited += STEP_MS) {
      nowMs += STEP_MS;
      ids(first);
    }
    assertThat(ids(first)).containsExactly("first");
  }
}
