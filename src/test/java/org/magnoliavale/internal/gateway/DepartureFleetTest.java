package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.magnoliavale.internal.Seeds;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.dispatch.TestEntries;

/**
 * Eight instances on a virtual clock, of which some are cut from the store, or from their peers
 * too, again and again, while endpoints leave with and without a notice; at times the store is down
 * for all, and entries expire. An instance that has not been cut for 3 s must not choose an
 * endpoint that left more than 2 s ago, and none may forget the endpoints whose entries have
 * expired.
 *
 * <p>{@code -Dseeds=N} plays N seeds instead of the ones for CI.
 */
class DepartureFleetTest {
  private static final int INSTANCES = 8;
  private static final int ENDPOINTS = 10;
  private static final int START_MS = 100_000;
  private static final int STEP_MS = 20;
  private static final int END_MS = 60_000;
  private static final int READ_INTERVAL_MS = 1_200;
  private static final int FAILED_READ_INTERVAL_MS = 800;
  private static final int HEARTBEAT_INTERVAL_MS = 500;
  private static final int ENTRY_INTERVAL_MS = 1_200;
  private static final int RECONNECT_MS = 1_000;
  private static final int LONGEST_CUT_MS = 14_000;
  private static final int DRAIN_MS = 2_000;
  private static final int CHECK_INTERVAL_MS = 200;
  private static final int STABLE_MS = 3_000;
  private static final int SHORTEST_OUTAGE_MS = 1_000;
  private static final int LONGEST_OUTAGE_MS = 9_000;
  private static final int ENTRY_EXPIRY_MS = 3 * ENTRY_INTERVAL_MS;
  private static final int LONGEST_RENEWAL_MS = 2_000;
  private static final double OUTAGE_PER_STEP = 0.0005;
  private static final double CUT_PER_STEP = 0.004;
  private static final double LEAVE_PER_STEP = 0.008;
  private static final double UNANNOUNCED_SHARE = 0.3;
  private static final int NEVER = -END_MS;

  private final class Instance {
    private final FleetPeer peer;
    private int nextReadMs;
    private int cutUntilMs = NEVER;
    private boolean cutFromPeers;
    private final Set<String> seen = new HashSet<>();

    Instance(int number) {
      peer = new FleetPeer("i" + number, () -> TimeUnit.MILLISECONDS.toNanos(START_MS + nowMs));
      nextReadMs = random.nextInt(READ_INTERVAL_MS);
    }

    boolean isCut() {
      return nowMs < cutUntilMs;
    }

    boolean hears() {
      return !cutFromPeers || nowMs >= cutUntilMs + RECONNECT_MS;
    }

    void read() {
      if (nowMs < nextReadMs) {
        peer.awaitNextRead();
        return;
      }
      if (isCut() || isStoreDown()) {
        peer.failRead();
        nextReadMs = nowMs + FAILED_READ_INTERVAL_MS;
        return;
      }
      DirectoryEntry[] entries = entries();
      for (DirectoryEntry entry : entries) {
        seen.add(entry.identity().id());
      }
      boolean news = peer.read(entries);
      long graceMs = peer.graceRemainingMs();
      nextReadMs =
          nowMs + (int) (graceMs == 0 ? READ_INTERVAL_MS : Math.min(READ_INTERVAL_MS, graceMs));
      if (news) {
        tellAll();
      }
    }

    Set<String> seenAndLive() {
      return endpoints.stream()
          .filter(endpoint -> nowMs < endpoint.leftMs)
          .map(endpoint -> endpoint.id)
          .filter(seen::contains)
          .collect(Collectors.toSet());
    }

    void tellAll() {
      for (Instance other : instances) {
        if (other != this && hears() && other.hears()) {
          peer.tell(other.peer);
        }
      }
    }
  }

  private static final class Endpoint {
    private final int startedMs;
    private final String id;
    private int leftMs = Integer.MAX_VALUE;
    private int renewedMs = NEVER;
    private boolean announced;

    Endpoint(int number, int startedMs) {
      this.id = "e" + number;
      this.startedMs = startedMs;
    }
  }

  private final List<Instance> instances = new ArrayList<>();
  private final List<Endpoint> endpoints = new ArrayList<>();
  private Random random;
  private int nowMs;
  private int outageEndMs = NEVER;

  static List<Integer> seeds() {
    return Seeds.upTo(50);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void noInstanceInTouchUsesAnEndpointThatHasLeft(int seed) {
    random = new Random(seed);
    for (int i = 0; i < INSTANCES; i++) {
      instances.add(new Instance(i));
    }
    for (int i = 0; i < ENDPOINTS; i++) {
      endpoints.add(new Endpoint(i, 0));
    }
    for (nowMs = 0; nowMs < END_MS; nowMs += STEP_MS) {
      cutSomebody();
      stopStore();
      letSomebodyLeave();
      instances.forEach(Instance::read);
      if (nowMs % HEARTBEAT_INTERVAL_MS == 0) {
        instances.forEach(Instance::tellAll);
      }
      check();
    }
  }

  private void cutSomebody() {
    Instance instance = instances.get(random.nextInt(INSTANCES));
    if (random.nextDouble() < CUT_PER_STEP && !instance.isCut()) {
      instance.cutUntilMs = nowMs + random.nextInt(LONGEST_CUT_MS);
      instance.cutFromPeers = random.nextBoolean();
    }
  }

  private boolean isStoreDown() {
    return nowMs < outageEndMs;
  }

  private void stopStore() {
    if (isStoreDown() || random.nextDouble() >= OUTAGE_PER_STEP) {
      return;
    }
    int durationMs = random.nextInt(SHORTEST_OUTAGE_MS, LONGEST_OUTAGE_MS);
    outageEndMs = nowMs + durationMs;
    if (durationMs >= ENTRY_EXPIRY_MS) {
      endpoints.forEach(
          endpoint -> endpoint.renewedMs = outageEndMs + random.nextInt(LONGEST_RENEWAL_MS));
    }
  }

  private void letSomebodyLeave() {
    boolean storeStable = nowMs >= outageEndMs + STABLE_MS;
    if (!storeStable || random.nextDouble() >= LEAVE_PER_STEP) {
      return;
    }
    Endpoint endpoint = endpoints.get(endpoints.size() - 1 - random.nextInt(ENDPOINTS));
    if (endpoint.leftMs == Integer.MAX_VALUE) {
      endpoint.leftMs = nowMs;
      endpoint.announced = random.nextDouble() >= UNANNOUNCED_SHARE;
      endpoints.add(new Endpoint(endpoints.size(), nowMs));
    }
  }

  private DirectoryEntry[] entries() {
    List<DirectoryEntry> entries = new ArrayList<>();
    for (Endpoint endpoint : endpoints) {
      long heartbeat = 1 + (nowMs - endpoint.startedMs) / ENTRY_INTERVAL_MS;
      if (nowMs < endpoint.renewedMs) {
        continue;
      }
      if (nowMs < endpoint.leftMs) {
        entries.add(TestEntries.entry(endpoint.id, heartbeat, "m"));
      } else if (endpoint.announced && nowMs < endpoint.leftMs + 2 * DRAIN_MS) {
        entries.add(TestEntries.draining(endpoint.id, heartbeat, "m"));
      }
    }
    return entries.toArray(DirectoryEntry[]::new);
  }

  private void check() {
    List<String> left =
        endpoints.stream()
            .filter(endpoint -> endpoint.leftMs < nowMs - DRAIN_MS)
            .map(endpoint -> endpoint.id)
            .toList();
    if (nowMs % CHECK_INTERVAL_MS != 0) {
      return;
    }
    for (Instance instance : instances) {
      Set<String> used = instance.peer.endpointsInUse();
      Set<String> live = instance.seenAndLive();
      if (!live.isEmpty()) {
        assertThat(used).as("at %d ms", nowMs).anyMatch(live::contains);
      }
      if (nowMs >= Math.max(instance.cutUntilMs, outageEndMs) + STABLE_MS) {
        assertThat(used).as("at %d ms", nowMs).noneMatch(left::contains);
      }
    }
  }
}
