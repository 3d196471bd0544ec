package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.magnoliavale.internal.Seeds;
import org.magnoliavale.internal.lease.LeaseManager;
import org.magnoliavale.internal.lease.LeaseTimes;
import org.magnoliavale.internal.platform.TableCall;
import org.magnoliavale.internal.platform.TableResult;

/**
 * Instances on a virtual clock that hold the command lease one after the other, die and are
 * stopped, while the table is away at times and comes back from a copy that is seconds old. No
 * fence may be used by two of them, and soon after the table is back an endpoint that checks fences
 * must accept commands again.
 *
 * <p>{@code -Dseeds=N} plays N seeds instead of the ones for CI.
 */
class RestoredTableLeaseTest {
  private static final int INSTANCES = 5;
  private static final int STEP_MS = 20;
  private static final int END_MS = 60_000;
  private static final int HEARTBEAT_INTERVAL_MS = 500;
  private static final int HOLDER_TIMEOUT_MS = 1_100;
  private static final int READ_INTERVAL_STEPS = 60;
  private static final int COMMAND_INTERVAL_MS = 200;
  private static final int COPY_INTERVAL_MS = 500;
  private static final int OLDEST_COPY_MS = 10_000;
  private static final int LONGEST_OUTAGE_MS = 3_000;
  private static final int LONGEST_RESTART_MS = 3_000;
  private static final double RESTORE_PER_STEP = 0.002;
  private static final double STOP_PER_STEP = 0.004;

  /** Time without a command after which control counts as lost. */
  private static final int LONGEST_GAP_MS = 10_000;

  private static final LeaseTimes TIMES =
      LeaseTimes.of(Duration.ofSeconds(3), Duration.ofMillis(200));

  private final class Instance {
    private final int number;
    private int lives;
    private LeaseManager manager;
    private int downUntilMs;
    private int holderHeardMs;

    Instance(int number) {
      this.number = number;
      start();
    }

    private void start() {
      lives++;
      holderHeardMs = -HOLDER_TIMEOUT_MS;
      manager =
          new LeaseManager("orders", "i" + number + "/" + lives, TIMES, new Random(number * 100L))
              .reclaimingOwnLease()
              .withActingLimit(1_900);
    }

    boolean runs() {
      return nowMs >= downUntilMs;
    }

    /** Ends the process, with or without giving the lease back before. */
    void stop(boolean planned) {
      if (planned) {
        manager.resign();
        tick();
      }
      downUntilMs = nowMs + 500 + random.nextInt(LONGEST_RESTART_MS);
      start();
    }

    void step() {
      if (!isTableDown() && (nowMs / STEP_MS + 7 * number) % READ_INTERVAL_STEPS == 0) {
        // Any read of the instance shows the generation.
        manager.observeGeneration(table.generation(), nowMs);
      }
      manager.surrender(nowMs);
      boolean holderAlive = nowMs - holderHeardMs < HOLDER_TIMEOUT_MS;
      if (manager.isHeld(nowMs) || !holderAlive) {
        tick();
      }
      if (nowMs % HEARTBEAT_INTERVAL_MS == 0) {
        instances.stream().filter(peer -> peer != this && peer.runs()).forEach(this::tell);
      }
      if (nowMs % COMMAND_INTERVAL_MS == 0 && manager.isHeld(nowMs)) {
        sendCommand();
      }
    }

    private void tick() {
      Optional<TableCall> call = manager.tick(nowMs);
      while (call.isPresent()) {
        TableResult result =
            isTableDown() ? new TableResult.Unavailable("down") : call.get().execute(table);
        call = manager.callCompleted(result, nowMs);
      }
    }

    private void tell(Instance peer) {
      peer.manager.observeSurrender(manager.surrenderedEpoch());
      if (manager.isHeld(nowMs)) {
        peer.holderHeardMs = nowMs;
        peer.manager.observeRenewal(manager.leaseRowVersion(), nowMs);
      }
    }

    private void sendCommand() {
      long fence = manager.epoch();
      String holder = "i" + number + "/" + lives;
      if (namesGeneration) {
        assertThat(holders.computeIfAbsent(fence, ignored -> holder))
            .as("holder with fence %d at %d ms", fence, nowMs)
            .isEqualTo(holder);
      }
      if (fence >= highestFence) {
        highestFence = fence;
        acceptedMs = nowMs;
      } else {
        manager.fencedOff(fence, nowMs);
      }
    }
  }

  private record Copy(int takenMs, FakeTable contents) {}

  private final FakeTable table = new FakeTable();
  private final List<Instance> instances = new ArrayList<>();
  private final Deque<Copy> copies = new ArrayDeque<>();
  private final Map<Long, String> holders = new HashMap<>();
  private boolean namesGeneration = true;
  private Random random;
  private int nowMs;
  private int downUntilMs;
  private long highestFence;
  private int acceptedMs;
  private int disturbedMs;

  static List<Integer> seeds() {
    return Seeds.upTo(100);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void noFenceIsUsedTwiceAndControlComesBack(int seed) {
    play(seed);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void controlComesBackThoughTheTableNamesNoGeneration(int seed) {
    namesGeneration = false;
    table.nameNoGeneration();
    play(seed);
  }

  private void play(int seed) {
    random = new Random(seed);
    for (int i = 0; i < INSTANCES; i++) {
      instances.add(new Instance(i));
    }
    for (nowMs = 0; nowMs < END_MS; nowMs += STEP_MS) {
      copyTable();
      restoreTable();
      stopSomebody();
      instances.stream().filter(Instance::runs).forEach(Instance::step);
      assertThat(nowMs - Math.max(acceptedMs, disturbedMs))
          .as("time without a command at %d ms", nowMs)
          .isLessThan(LONGEST_GAP_MS);
    }
  }

  private boolean isTableDown() {
    return nowMs < downUntilMs;
  }

  private void copyTable() {
    if (nowMs % COPY_INTERVAL_MS == 0 && !isTableDown()) {
      copies.addLast(new Copy(nowMs, table.copy()));
    }
    while (copies.getFirst().takenMs() < nowMs - OLDEST_COPY_MS) {
      copies.removeFirst();
    }
  }

  private void restoreTable() {
    if (isTableDown() || nowMs < STEP_MS * 100 || random.nextDouble() >= RESTORE_PER_STEP) {
      return;
    }
    List<Copy> available = List.copyOf(copies);
    table.restore(available.get(random.nextInt(available.size())).contents());
    copies.clear();
    copies.addLast(new Copy(nowMs, table.copy()));
    downUntilMs = nowMs + random.nextInt(LONGEST_OUTAGE_MS);
    disturbedMs = downUntilMs;
  }

  private void stopSomebody() {
    Instance instance = instances.get(random.nextInt(INSTANCES));
    if (!instance.runs() || random.nextDouble() >= STOP_PER_STEP) {
      return;
    }
    instance.stop(random.nextBoolean());
    disturbedMs = Math.max(disturbedMs, nowMs);
  }
}
